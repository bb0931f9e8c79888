package gateway

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gypsumbank/crashcheck"
	"gypsumbank/quarantine"
	"gypsumbank/registry"
	"gypsumbank/request"
	"gypsumbank/wire"
)

// crashes finds the contents of requests under which targets crash, together with the other gateways, and says which requests
// to refuse for that.
type crashes struct {
	table   *quarantine.Table
	checker *crashcheck.Checker
	changed func() // called when there is something to tell other processes
	log     *logrus.Entry
}

func newCrashes(log *logrus.Entry) *crashes {
	c := &crashes{table: quarantine.New(time.Now), log: log, changed: func() {}}
	c.checker = crashcheck.New(dialAndClose, c.recordCrash, time.Now)
	return c
}

// dialAndClose checks whether anything listens at an address.
func dialAndClose(ctx context.Context, address string) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// Blocked returns for how long requests with any of the contents are to be refused; 0 if they need not be.
func (c *crashes) Blocked(contents []request.Content) time.Duration { return c.table.Blocked(contents) }

// Suspect records that an answer broke off before it had begun, or soon after. If the target has crashed, the contents of the
// request may be the cause.
func (c *crashes) Suspect(target registry.Target, contents []request.Content) {
	c.checker.Suspect(target, contents)
}

// MarkReplaced records that another run has the address of a target.
func (c *crashes) MarkReplaced(target registry.Target) {
	c.checker.MarkEnded(target.ID, target.Born, "another run at its address")
}

// Clear records that a request was answered, so that its contents crash no targets.
func (c *crashes) Clear(contents []request.Content) {
	unblocked, blocked := c.table.Clear(contents)
	for _, content := range unblocked {
		c.log.WithField("content", content).Info("content unblocked, a request with it was answered")
		c.changed()
	}
	c.logBlocked(blocked, "answered without it")
}

// recordCrash blames the contents of the requests that a target has crashed under.
func (c *crashes) recordCrash(crash crashcheck.Crash) {
	metrics.GetOrCreateCounter(`gypsumbank_gateway_crashes_total`).Inc()
	blocked := c.table.Blame(quarantine.Run(crash.Target), crash.Contents)
	leading := c.table.Leading(crash.Contents)
	c.log.WithFields(logrus.Fields{
		"target": crash.Target.ID, "born": crash.Target.Born, "service": crash.Target.Service, "noticed-by": crash.Cause, "contents": len(crash.Contents),
		"leading": leading.Content, "crashes": leading.Crashes, "counted": leading.Counted,
	}).Info("target crashed under requests")
	c.logBlocked(blocked, "crashes seen here")
	c.changed()
}

// merge adds what an agent has sent.
func (c *crashes) merge(agent string, message *wire.Quarantine) {
	c.logBlocked(c.table.Merge(message), agent)
}

// logBlocked logs the contents that are blocked from now on, and who said so.
func (c *crashes) logBlocked(blocked []request.Content, source string) {
	for _, content := range blocked {
		metrics.GetOrCreateCounter(`gypsumbank_gateway_contents_blocked_total`).Inc()
		c.log.WithFields(logrus.Fields{
			"content": content, "members": c.table.Members(content), "source": source, "for-ms": c.table.Blocked([]request.Content{content}).Milliseconds(),
		}).Warn("content blocked, targets crash under requests with it")
	}
}
