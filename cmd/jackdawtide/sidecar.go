package main

// Package platform holds the platform's names and formats. Only the program passes them to the node beside an endpoint;
// no package under internal/ imports platform.

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jackdawtide/jackdawtide/internal/commander"
	"github.com/jackdawtide/jackdawtide/internal/loader"
	"github.com/jackdawtide/jackdawtide/internal/mesher"
	"github.com/jackdawtide/jackdawtide/platform"
)

func runSidecar(ctx context.Context, p commander.Process, o commander.SidecarOptions) error {
	// SIGHUP ends the process by default; here it requests a reload of the settings file.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	store := platform.NewStore(o.Settings.Store.String())
	return mesher.Run(ctx, mesher.Options{
		Settings: o.Settings,
		Out:      p.Out,
		WatchSettings: func(ctx context.Context, onUpdate func(loader.Sidecar), onError func(error)) {
			loader.Follow(ctx, o.File, reload, onUpdate, onError)
		},
		Platform: mesher.Platform{
			Headers:          platform.Headers(),
			Operators:        store.Topic(platform.OperatorsTopic),
			Members:          store.Topic(platform.MembersTopic),
			ConfigurationKey: platform.ConfigurationKey,
			Decode:           platform.DecodeConfiguration,
			EvacuatedDomain:  platform.EvacuatedDomain,
			Announcements:    platform.Announcements,
		},
	})
}
