package vmlist

import (
	"context"
	"sync"
	"time"

	"gypsumbank/jsonclient"
)

const (
	// RoleEntry is the role of a VM that serves callers.
	RoleEntry = "entry"
	// RoleModel is the role of a VM with a model engine.
	RoleModel = "model"
	// RoleService is the role of a VM with a plain service.
	RoleService = "service"

	timeout = 2 * time.Second
)

// VM is one machine of the list.
type VM struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
	Role             string `json:"role"`
	Service          string `json:"service,omitempty"`
	Leaving          bool   `json:"leaving"`
}

// Client reads the list, which lags behind the machines, and transfers it only when it has changed.
type Client struct {
	http *jsonclient.Client

	mu  sync.Mutex
	tag string
	vms []VM
}

// New returns a client of the list at address.
func New(address string) *Client { return &Client{http: jsonclient.New(address)} }

// VMs returns the live and leaving VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	var vms []VM
	tag, changed, err := c.http.GetIfChanged(ctx, "/vms", c.tag, &vms)
	if err != nil {
		return nil, err
	}
	if changed {
		c.tag, c.vms = tag, vms
	}
	return c.vms, nil
}
