// Package link is a TCP proxy that injects network faults: delay, packet loss, silent connections and closed ones.
package link
