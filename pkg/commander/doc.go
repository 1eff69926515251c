// Package commander implements primrose, the operators' command line tool. Each
// verb has a file with its usage, its flags and its code, in this order; verbs.go
// lists the verbs.
package commander
