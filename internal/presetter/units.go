package presetter

// Rates and shares are written with their units, since a plain 400 could also mean calls a minute or calls at one VM.
// Internally they are integers in thousandths, so that rounding shares of shares never puts a team over its rate.
//
// Example: rate = "30/min" is 500 thousandths of a call a second; share = "12.5%" is 125 per mille.

import (
	"math"
	"regexp"
	"strconv"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/checker"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	wantRate  = `want calls with a unit of time, such as "400/s" or "30/min"`
	wantShare = `want a share in per cent, such as "25%" or "12.5%"`
)

// thousandths matches a number with at most three decimals.
var thousandths = regexp.MustCompile(`^([0-9]{1,9})(?:\.([0-9]{1,3}))?$`)

const secondsPerMinute = 60

// parseThousandths returns a decimal number times 1000.
func parseThousandths(s string) (int64, bool) {
	m := thousandths.FindStringSubmatch(s)
	if m == nil {
		return 0, false
	}
	whole, err := strconv.ParseInt(m[1], 10, 64)
	if err != nil {
		return 0, false
	}
	fraction, err := strconv.ParseInt((m[2] + "000")[:3], 10, 64)
	if err != nil {
		return 0, false
	}
	return whole*1000 + fraction, true
}

func formatThousandths(n int64) string {
	return strconv.FormatFloat(float64(n)/1000, 'f', -1, 64)
}

func readRate(t *checker.Table, key string) identifier.Tokens {
	text := t.Quantity(key, wantRate)
	if text == "" {
		return 0
	}
	number, unit, _ := strings.Cut(text, "/")
	n, ok := parseThousandths(number)
	if !ok || (unit != "s" && unit != "min") {
		t.Fault(key, wantRate)
		return 0
	}
	if unit == "min" && n%secondsPerMinute != 0 {
		t.Fault(key, "does not come to whole thousandths of a call a second")
		return 0
	}
	if unit == "min" {
		n /= secondsPerMinute
	}
	if n == 0 {
		t.Fault(key, "want more than none; withdraw the team's keys to stop it")
		return 0
	}
	return identifier.Tokens(n)
}

func formatRate(r identifier.Tokens) string {
	return formatThousandths(int64(r)) + "/s"
}

func readShare(t *checker.Table, key string) int {
	text := t.Quantity(key, wantShare)
	if text == "" {
		return 0
	}
	number, ok := strings.CutSuffix(text, "%")
	n, isNumber := parseThousandths(number)
	// n is in thousandths of a per cent, and 0.1% is one per mille.
	const thousandthsPerPerMille = 100
	if !ok || !isNumber || n%thousandthsPerPerMille != 0 || n/thousandthsPerPerMille > maxPerMille {
		t.Fault(key, wantShare)
		return 0
	}
	return int(n / thousandthsPerPerMille)
}

func formatShare(perMille int) string {
	return strconv.FormatFloat(float64(perMille)/10, 'f', -1, 64) + "%"
}

func readBurst(t *checker.Table, key string) identifier.Tokens {
	return identifier.Tokens(t.Integer(key, 1, math.MaxInt32)) * identifier.TokensPerCall
}
