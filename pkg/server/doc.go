// Package server puts one node together: its listeners, its data path, and
// the controllers that keep its state. controllers.go lists them.
package server
