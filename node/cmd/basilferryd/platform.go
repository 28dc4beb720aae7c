package main

import (
	"context"
	"net/http"
	"os"

	"github.com/basilferry/basilferry/core/domain"
	wire "github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/dispatcher"
	"github.com/basilferry/basilferry/node/entry"
	"github.com/basilferry/basilferry/node/intake"
	"github.com/basilferry/basilferry/platform"
)

// The topic of this program in the store, and the partitions of that topic.
const (
	topicName         = "basilferry"
	requestsPartition = 0
	statesPartition   = 1
	pulsePartition    = 2

	// settingsRemedy is the remedy if the platform provides no settings file.
	settingsRemedy = "run this on the platform, which provides the path of the settings file, or use --settings"
)

// runOnPlatform runs one entry node of the platform until ctx is done.
func runOnPlatform(ctx context.Context) error {
	path := platform.SettingsPath()
	if path == "" {
		return &domain.Error{Kind: domain.KindBadRequest, Message: "no settings file is given", Remedy: settingsRemedy}
	}
	s, err := entry.LoadSettings(path)
	if err != nil {
		return err
	}
	app := entry.New(s, entry.SettingsFile(path), newPlatform(s), os.Stdout)
	if err := app.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), s.Grace())
	defer cancel()
	return app.Stop(stopCtx)
}

func newPlatform(s entry.Settings) entry.Platform {
	ownTopic := platform.KeyedTopic(topicName)
	var advisor wire.Advisor
	if s.Advice.Address != "" {
		advisor = platform.NewAdvisor(s.Advice.Address)
	}
	return entry.Platform{
		Platform: dispatcher.Platform{
			Store:        platform.NewStore(s.Store.Address),
			WorkerClient: platform.NewWorkerClient(),
			Advisor:      advisor,
			Requests:     wire.Partition{Topic: ownTopic, Part: requestsPartition},
			States:       wire.Partition{Topic: ownTopic, Part: statesPartition},
			Pulse:        wire.Partition{Topic: ownTopic, Part: pulsePartition},
			Registry:     platform.RegistryPartition,
			DecodeEntry:  platform.DecodeRegistryEntry,
		},
		Operator:             platform.OperatorPartition,
		OperatorStore:        platform.NewOperatorStore(s.Store.Address),
		DecodeOperatorRecord: platform.DecodeOperatorChange,
		Ingress: func(jobs *intake.Intake, closing func() bool) http.Handler {
			return platform.NewIngress(jobs, closing)
		},
	}
}
