// Package fetcher brings a node to the newest configuration version that other
// nodes advertise. An advert holds only the version; the fetcher requests the
// value from one of the advertisers. A node that doesn't answer delays this by
// hedgeDelay, not by the timeout of a fetch. The fetcher retries until the version
// is in force or no node advertises it any more.
package fetcher
