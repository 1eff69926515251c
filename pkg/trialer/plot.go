package trialer

import (
	"bytes"
	"fmt"
)

// Sizes in units of the SVG view box.
const (
	plotWidth  = 800
	plotHeight = 300
	plotMargin = 40
)

// plot draws as SVG the offered and served rates over time and, as a dashed
// line, the best possible rate during the events.
func plot(r *Report) []byte {
	top := r.Capacity
	for _, v := range append(append([]float64(nil), r.ServedRates...), r.OfferedRates...) {
		top = max(top, v)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="white"/>`+"\n", plotWidth, plotHeight)
	drawCurve(&b, r.OfferedRates, top, "#bbbbbb")
	drawCurve(&b, r.ServedRates, top, "#1f6f43")
	y := yPosition(r.BestRate, top)
	fmt.Fprintf(&b, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#b03030" stroke-dasharray="4"/>`+"\n", plotMargin, plotWidth-plotMargin, y, y)
	fmt.Fprintf(&b, `<text x="%d" y="16">%s, %s: asked (grey), served (green), best during events (red), requests/s up to %.0f, %.0f s</text>`+"\n",
		plotMargin, r.Name, r.Mode, top, float64(len(r.ServedRates))*bucketLength.Seconds())
	b.WriteString("</svg>\n")
	return b.Bytes()
}

// yPosition is the vertical position of a value; top is the value at the upper
// edge of the plot.
func yPosition(value, top float64) float64 {
	return plotHeight - plotMargin - value/top*(plotHeight-2*plotMargin)
}

func drawCurve(b *bytes.Buffer, values []float64, top float64, colour string) {
	fmt.Fprintf(b, `<polyline fill="none" stroke="%s" points="`, colour)
	step := float64(plotWidth-2*plotMargin) / float64(max(len(values)-1, 1))
	for i, v := range values {
		fmt.Fprintf(b, "%.1f,%.1f ", plotMargin+float64(i)*step, yPosition(v, top))
	}
	b.WriteString(`"/>` + "\n")
}
