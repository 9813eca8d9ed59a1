package commander

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jackdawtide/jackdawtide/internal/publisher"
)

// `key withdraw` is permanent: no record can make the key valid again. An operator who finds a leaked key has the key
// and not its hash, so the key can be passed on standard input.

type withdrawnKey struct {
	Hash    string `json:"hash"`
	Team    string `json:"team"`
	Version int64  `json:"version"`
}

func (r withdrawnKey) writeText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "accepted: key %s of team %s is withdrawn since version %d\n", r.Hash, r.Team, r.Version)
	return err
}

func addKeyWithdraw(c *cli, group *kingpin.CmdClause) {
	var hash string
	clause := c.add(group, "withdraw", "Withdraw a key permanently; nodes refuse it within seconds.",
		"jackdawtide key withdraw --log http://10.9.0.1:7000 3f1a9c0b", nil)
	flags := bindChange(clause)
	clause.Arg("hash", "Hash of the key or a prefix of it; - reads the key itself from standard input.").
		Required().StringVar(&hash)
	c.runs[clause.FullCommand()] = func(ctx context.Context) error {
		wanted, err := c.wantedHash(hash)
		if err != nil {
			return InputError{Cause: err}
		}
		return c.withLog(ctx, flags, func(ctx context.Context, p *publisher.Publisher, v *publisher.View) error {
			k, err := v.FindKey(wanted)
			if err != nil {
				return err
			}
			version, err := p.Withdraw(ctx, v, k)
			if err != nil {
				return err
			}
			return c.print(withdrawnKey{
				Hash:    string(k.Key.Hash),
				Team:    string(k.Key.Team),
				Version: int64(version),
			})
		})
	}
}

// wantedHash returns the hash that was given, or that of the key on standard input. A key given instead of its hash is
// refused, and the error does not contain it, since the tool that ran the command may log the error.
func (c *cli) wantedHash(argument string) (string, error) {
	if argument != standardInput {
		if publisher.LooksLikeKey(argument) {
			return "", errors.New("got a key, want its hash: to withdraw by key, run \"key withdraw -\" and pass the key on standard input")
		}
		return argument, nil
	}
	line, err := bufio.NewReader(io.LimitReader(c.In, maxKeyLineBytes)).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return "", fmt.Errorf("read the key: %w", err)
	}
	key := strings.TrimSpace(line)
	if !publisher.LooksLikeKey(key) {
		return "", errors.New("standard input holds no key")
	}
	return string(publisher.HashOf(key)), nil
}

const maxKeyLineBytes = 1 << 10
