package logs

import (
	"io"

	"github.com/sirupsen/logrus"

	"gypsumbank/settings"
)

// timestampFormat is RFC 3339 with milliseconds, because consecutive decisions are only a few milliseconds apart.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes to out and adds the node's name and availability zone to each line. The level off
// disables it.
func New(config settings.Log, node settings.Node, out io.Writer) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(out)
	if config.Format == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
	} else {
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: timestampFormat, DisableColors: true})
	}
	level, err := logrus.ParseLevel(config.Level)
	if err != nil {
		logger.SetOutput(io.Discard)
		level = logrus.PanicLevel
	}
	logger.SetLevel(level)
	return logger.WithFields(logrus.Fields{"node": node.Name, "availability-zone": node.AvailabilityZone})
}

// SetLevel changes the level of a logger that New returned. A logger that was created with the level off stays silent.
func SetLevel(log *logrus.Entry, config settings.Log) {
	level, err := logrus.ParseLevel(config.Level)
	if err != nil {
		level = logrus.PanicLevel
	}
	log.Logger.SetLevel(level)
}
