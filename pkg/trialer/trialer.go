package trialer

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
)

// Modes in which a plan can be run.
const (
	// ModeNodes sends the load through nodes in front of the targets.
	ModeNodes = "nodes"
	// ModeBare sends the load straight to the targets, without nodes, as a
	// baseline. Targets retry their calls too.
	ModeBare = "bare"
)

// Run runs a plan in one mode and returns its figures.
func Run(ctx context.Context, p *Plan, mode string, seed uint64) (*Report, error) {
	startFleet := startNodes
	switch mode {
	case ModeNodes:
	case ModeBare:
		startFleet = startBare
	default:
		return nil, fmt.Errorf("way %q is not known; nodes or bare would be right", mode)
	}
	f, err := startFleet(ctx, p)
	if err != nil {
		return nil, err
	}
	defer f.close()
	return newReport(p, mode, runLoad(ctx, f, seed)), nil
}

// Save writes each report to folder as a JSON file and an SVG plot.
func Save(folder string, reports []*Report) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("save reports: %w", err)
	}
	for _, r := range reports {
		if math.IsInf(r.RecoverySeconds, 0) {
			// Goodput didn't recover before the end of the run. JSON can't
			// represent infinity.
			r.RecoverySeconds = math.MaxInt32
		}
		text, err := json.MarshalIndent(r, "", " ")
		if err != nil {
			return fmt.Errorf("encode report: %w", err)
		}
		base := filepath.Join(folder, r.Name+"-"+r.Mode)
		if err := os.WriteFile(base+".json", text, 0o644); err != nil {
			return fmt.Errorf("save report: %w", err)
		}
		if err := os.WriteFile(base+".svg", plot(r), 0o644); err != nil {
			return fmt.Errorf("save plot: %w", err)
		}
	}
	return nil
}
