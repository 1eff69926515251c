// Package server assembles one node: its listeners, its data path, and the
// controllers that maintain its state. Server.controllers lists them.
package server
