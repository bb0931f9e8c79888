package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"gypsumbank/standin/engine"
	"gypsumbank/standin/ledger"
	"gypsumbank/standin/table"
	"gypsumbank/standin/vms"
	"gypsumbank/standin/weights"
)

// standin is a stand-in that serves until it is closed.
type standin interface {
	Start(listener net.Listener) <-chan error
	Close()
}

var cmdStandin = command{
	name: "standin",
	help: "Run a stand-in for a part of the platform or for a target.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		setupStandin(clause, actions, "engine", "Run a model engine.", engineStandin)
		setupStandin(clause, actions, "ledger", "Run a plain service that records business events.", ledgerStandin)
		setupStandin(clause, actions, "table", "Run a transactional table service.", tableStandin)
		setupStandin(clause, actions, "weights", "Run a weight store.", weightsStandin)
		setupStandin(clause, actions, "vms", "Run a lagging list of VMs.", vmsStandin)
	},
}

func setupStandin(parent *kingpin.CmdClause, actions map[string]action, kind, help string, build func(*kingpin.CmdClause, *uint64) func() standin) {
	clause := parent.Command(kind, help)
	listen := clause.Flag("listen", "Address to listen on, as IP:PORT.").Required().TCP()
	seed := clause.Flag("seed", "Seed of the draws that faults make.").Default("1").Uint64()
	create := build(clause, seed)
	actions[clause.FullCommand()] = func(ctx context.Context, env Env) error {
		listener, err := net.Listen("tcp", (*listen).String())
		if err != nil {
			return fmt.Errorf("standin %s: %w", kind, err)
		}
		server := create()
		ended := server.Start(listener)
		fmt.Fprintf(env.Out, "standin %s on %s\n", kind, listener.Addr())
		select {
		case <-ctx.Done():
			server.Close()
			return nil
		case err := <-ended:
			return err
		}
	}
}

func engineStandin(clause *kingpin.CmdClause, seed *uint64) func() standin {
	memory := clause.Flag("memory-mib", "Memory for weights in MiB.").Default("49152").Uint64()
	slots := clause.Flag("slots", "Sequences in one batch.").Default("16").Int()
	step := clause.Flag("step", "Time of a decoding step.").Default("8ms").Duration()
	perSequence := clause.Flag("step-per-sequence", "Time that each sequence adds to a step.").Default("400us").Duration()
	fence := clause.Flag("checks-fence", "Refuse orders with an old fencing number.").Bool()
	store := clause.Flag("weight-store", "Address of the weight store, as IP:PORT.").String()
	restart := clause.Flag("restart-time", "Time that the engine is away after a crash.").Default("2s").Duration()
	lag := clause.Flag("report-lag", "Age of load reports and cache events.").Default("1s").Duration()
	return func() standin {
		return engine.New(engine.Config{
			MemoryBytes:     *memory << 20,
			Slots:           *slots,
			StepBase:        *step,
			StepPerSequence: *perSequence,
			PrefillPerToken: 20 * time.Microsecond,
			CacheBlocks:     1024,
			ChecksFence:     *fence,
			WeightStore:     *store,
			RestartTime:     *restart,
			ReportLag:       *lag,
			EventLag:        *lag,
			Seed:            *seed,
		})
	}
}

func ledgerStandin(_ *kingpin.CmdClause, seed *uint64) func() standin {
	return func() standin { return ledger.New(ledger.NewCounts(), *seed) }
}

func tableStandin(clause *kingpin.CmdClause, seed *uint64) func() standin {
	reads := clause.Flag("reads", "Reads a second.").Default("2000").Int()
	writes := clause.Flag("writes", "Writes a second.").Default("500").Int()
	return func() standin { return table.New(*reads, *writes, *seed) }
}

func weightsStandin(clause *kingpin.CmdClause, seed *uint64) func() standin {
	rate := clause.Flag("loads-per-second", "Model loads started a second.").Default("2").Float64()
	atOnce := clause.Flag("loads-at-once", "Model loads at once at full speed.").Default("6").Int()
	loadTime := clause.Flag("load-time", "Time of a model load at full speed.").Default("2s").Duration()
	adapters := clause.Flag("adapters-in-flight", "Adapter loads at once at full speed.").Default("50").Int()
	adapterTime := clause.Flag("adapter-time", "Time of an adapter load at full speed.").Default("5ms").Duration()
	return func() standin {
		return weights.New(weights.Limits{
			LoadsPerSecond:        *rate,
			FullSpeedModelLoads:   *atOnce,
			ModelLoadTime:         *loadTime,
			FullSpeedAdapterLoads: *adapters,
			AdapterLoadTime:       *adapterTime,
		}, *seed)
	}
}

func vmsStandin(clause *kingpin.CmdClause, seed *uint64) func() standin {
	lag := clause.Flag("lag", "Time after which a change shows.").Default("2s").Duration()
	return func() standin { return vms.New(*lag, *seed) }
}
