// Package allowance holds the list of what each plan may use, with the models, adapters, services and members it names.
package allowance
