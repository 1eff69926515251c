// Package checker finds in a declaration what is valid and yet most likely a mistake:
// entries that can never match, and limits that contradict each other.
package checker
