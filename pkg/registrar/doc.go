// Package registrar keeps the departures of targets on the disk of a replica: which lives
// of the target beside an instance have left for good. Nodes without a disk record a
// departure at a majority of the replicas before they acknowledge it, and ask for those of
// their target when they start.
package registrar
