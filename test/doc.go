// Package test holds end-to-end tests, most of which run the built programs as
// processes, among others with faults that need real processes, such as kills and
// wiped disks.
package test
