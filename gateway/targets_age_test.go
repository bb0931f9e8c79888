package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/history"
	"gypsumbank/registry"
	"gypsumbank/settings"
)

// TestAgeOfTheViewIsThatOfTheRead guards against a view that counts as new since an old read was put in force.
func TestAgeOfTheViewIsThatOfTheRead(t *testing.T) {
	const readAge = 8 * time.Second
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New(&settings.Config{}, log.WithField("test", t.Name()))
	now := time.Now()
	read := targetsRead{targets: []registry.Target{{ID: "p1", Service: "plain"}}, readAt: now.Add(-readAge), span: history.New(1, 1, 1)}
	for range 2 { // agents that the store turns away go on to relay it
		if err := g.installTargets(read); err != nil {
			t.Fatal(err)
		}
	}
	if age := g.fleet.SoftwareVersions("plain", now).Age(); age != readAge {
		t.Errorf("the view is %s old, the read %s", age, readAge)
	}
}
