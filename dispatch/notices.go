package dispatch

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gypsumbank/fleet"
	"gypsumbank/notice"
	"gypsumbank/registry"
)

// recordNotice records and logs what an answer says of its target.
func (d *Dispatch) recordNotice(assignment *fleet.Assignment, said registry.Notice) {
	change := assignment.RecordNotice(said, d.now())
	log := d.log.WithFields(logrus.Fields{"target": assignment.Target().ID, "limit": said.Limit.String()})
	switch change.Limit {
	case notice.LimitSet:
		metrics.GetOrCreateCounter(`gypsumbank_gateway_limits_total`).Inc()
		log.WithField("gateways", d.fleet.GatewayCount()).Info("target names a limit")
	case notice.LimitLifted:
		log.Info("target names no limit any more")
	case notice.LimitSame:
	}
	if change.Leaving {
		countNotice("leaving")
		log.Info("target says that it leaves")
	}
	if change.Rest {
		countNotice("rest")
		log.WithField("rest-ms", said.Rest.Milliseconds()).Info("target asks for a rest")
	}
}

// countNotice counts that a target has said something new of itself.
func countNotice(kind string) {
	metrics.GetOrCreateCounter(`gypsumbank_gateway_notices_total{kind="` + kind + `"}`).Inc()
}
