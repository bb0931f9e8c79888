package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"gypsumbank/deployment"
	"gypsumbank/logs"
	"gypsumbank/settings"
)

const demoReadyTimeout = 2 * time.Minute

var cmdDemo = command{
	name: "demo",
	help: "Run a complete deployment with stand-ins for engines and platform in one process.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		name := clause.Flag("deployment", "Size of the deployment: small, namib or magnolia.").Default("small").Enum("small", "namib", "magnolia")
		listen := clause.Flag("listen", "Address on which the first entry listens for callers, as IP:PORT.").Default("127.0.0.1:8080").String()
		once := clause.Flag("once", "Run a demonstration of requests and edits, print the results and exit.").Bool()
		settingsFile := clause.Flag("settings-file", "Write the settings that the operators' commands need to this file.").PlaceHolder("FILE").String()
		level := clause.Flag("log-level", "Level of the logs: debug, info, warning, error or off.").Default("off").Enum("debug", "info", "warning", "error", "off")
		actions[clause.FullCommand()] = func(ctx context.Context, env Env) error {
			size := deployment.Sizes()[*name]()
			log := logs.New(settings.Log{Level: *level}, settings.Node{Name: "demo"}, env.Err)
			d, err := deployment.New(ctx, size, *listen, log)
			if err != nil {
				return err
			}
			defer d.Close()
			readyCtx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
			defer cancel()
			if err := d.WaitReady(readyCtx); err != nil {
				return err
			}
			if *once {
				return runDemonstration(ctx, d, env.Out)
			}
			if err := writeOperatorSettings(*settingsFile, d); err != nil {
				return err
			}
			printDemoInfo(env.Out, d)
			<-ctx.Done()
			return nil
		}
	},
}

// printDemoInfo prints the size of the deployment, the URLs of its entries, the customers' keys and a command to try.
func printDemoInfo(out io.Writer, d *deployment.Deployment) {
	size := d.Size()
	fmt.Fprintf(out, "deployment %s: %d availability zones, %d model replicas, %d ledger replicas, %d models, %d adapters\n",
		size.Name, len(size.Zones), size.ModelReplicas, size.LedgerReplicas, size.Models, size.Adapters)
	for i, role := range d.Entries() {
		fmt.Fprintf(out, "%s in %s: %s\n", role.Name, size.Zone(i), d.URL(i))
	}
	for _, member := range size.Members {
		fmt.Fprintf(out, "customer %s: key %s\n", size.Customer(member), size.Key(member))
	}
	fmt.Fprintf(out, "try: curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n",
		d.URL(0), size.Key(size.Members[0]), deployment.ModelName(0))
}
