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

// standin is a stand-in for a service or target that serves until it is closed. Start returns a channel for the error
// of serving.
type standin interface {
	Start(listener net.Listener) <-chan error
	Close()
}

var cmdStandin = command{
	name: "standin",
	help: "Run a stand-in for a service of the platform or for a target.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		setupStandin(clause, actions, "engine", "Run a model engine.", engineStandin)
		setupStandin(clause, actions, "ledger", "Run a service that records business events.", ledgerStandin)
		setupStandin(clause, actions, "table", "Run a transactional table service.", tableStandin)
		setupStandin(clause, actions, "weights", "Run a weight store.", weightsStandin)
		setupStandin(clause, actions, "vms", "Run a list of VMs that shows changes with a delay.", vmsStandin)
	},
}

// setupStandin adds the subcommand for one kind of stand-in. configure adds the flags of the kind and returns the
// function that creates the stand-in after the flags are parsed.
func setupStandin(parent *kingpin.CmdClause, actions map[string]action, kind, help string, configure func(*kingpin.CmdClause, *uint64) func() standin) {
	clause := parent.Command(kind, help)
	listen := clause.Flag("listen", "Address to listen on, as IP:PORT.").Required().TCP()
	seed := clause.Flag("seed", "Seed of the random numbers that injected faults use.").Default("1").Uint64()
	create := configure(clause, seed)
	actions[clause.FullCommand()] = func(ctx context.Context, env Env) error {
		listener, err := net.Listen("tcp", (*listen).String())
		if err != nil {
			return fmt.Errorf("standin %s: %w", kind, err)
		}
		server := create()
		serveErr := server.Start(listener)
		fmt.Fprintf(env.Out, "standin %s on %s\n", kind, listener.Addr())
		select {
		case <-ctx.Done():
			server.Close()
			return nil
		case err := <-serveErr:
			return err
		}
	}
}

func engineStandin(clause *kingpin.CmdClause, seed *uint64) func() standin {
	memory := clause.Flag("memory-mib", "Memory for weights in MiB.").Default("49152").Uint64()
	slots := clause.Flag("slots", "Highest number of sequences in a batch.").Default("16").Int()
	step := clause.Flag("step", "Duration of a decoding step of an empty batch.").Default("8ms").Duration()
	perSequence := clause.Flag("step-per-sequence", "Duration that each sequence adds to a decoding step.").Default("400us").Duration()
	fence := clause.Flag("checks-fence", "Refuse orders with an outdated fencing number.").Bool()
	store := clause.Flag("weight-store", "Address of the weight store, as IP:PORT.").String()
	restart := clause.Flag("restart-time", "Time for which the engine is down after a crash.").Default("2s").Duration()
	lag := clause.Flag("report-lag", "Delay of load reports and cache events.").Default("1s").Duration()
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
	reads := clause.Flag("reads", "Highest rate of reads per second.").Default("2000").Int()
	writes := clause.Flag("writes", "Highest rate of writes per second.").Default("500").Int()
	return func() standin { return table.New(*reads, *writes, *seed) }
}

func weightsStandin(clause *kingpin.CmdClause, seed *uint64) func() standin {
	rate := clause.Flag("loads-per-second", "Model loads that may start per second.").Default("2").Float64()
	atOnce := clause.Flag("loads-at-once", "Concurrent model loads that run at full speed; more take proportionally longer.").Default("6").Int()
	loadTime := clause.Flag("load-time", "Duration of a model load at full speed.").Default("2s").Duration()
	adapters := clause.Flag("adapters-in-flight", "Concurrent adapter loads that run at full speed; more take proportionally longer.").Default("50").Int()
	adapterTime := clause.Flag("adapter-time", "Duration of an adapter load at full speed.").Default("5ms").Duration()
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
	lag := clause.Flag("lag", "Delay after which a change appears in the list.").Default("2s").Duration()
	return func() standin { return vms.New(*lag, *seed) }
}
