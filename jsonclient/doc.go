// Package jsonclient calls HTTP services that speak JSON and never repeats a call by itself.
package jsonclient
