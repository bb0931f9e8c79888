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

const demoReadyTime = 2 * time.Minute

var cmdDemo = command{
	name: "demo",
	help: "Run a whole deployment on stand-ins in one process.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		name := clause.Flag("deployment", "Size of the deployment: small, namib or magnolia.").Default("small").Enum("small", "namib", "magnolia")
		listen := clause.Flag("listen", "Address of the first entry for callers, as IP:PORT.").Default("127.0.0.1:8080").String()
		once := clause.Flag("once", "Send one request of each kind, print the results and end.").Bool()
		settingsFile := clause.Flag("settings-file", "Write settings for operators' commands to this file.").PlaceHolder("FILE").String()
		level := clause.Flag("log-level", "Level of the logs: debug, info, warning, error or off.").Default("off").Enum("debug", "info", "warning", "error", "off")
		actions[clause.FullCommand()] = func(ctx context.Context, env Env) error {
			size := deployment.Sizes()[*name]()
			log := logs.New(settings.Log{Level: *level}, settings.Node{Name: "demo"}, env.Err)
			d, err := deployment.New(ctx, size, *listen, log)
			if err != nil {
				return err
			}
			defer d.Close()
			ready, cancel := context.WithTimeout(ctx, demoReadyTime)
			defer cancel()
			if err := d.WaitReady(ready); err != nil {
				return err
			}
			if *once {
				return demonstrate(ctx, d, env.Out)
			}
			if err := writeSettings(*settingsFile, d); err != nil {
				return err
			}
			describeDemo(env.Out, d)
			<-ctx.Done()
			return nil
		}
	},
}

func describeDemo(out io.Writer, d *deployment.Deployment) {
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
