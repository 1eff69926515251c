package trialer

import (
	"bytes"
	"fmt"
)

const (
	plotWidth  = 800
	plotHeight = 300
	plotMargin = 40
)

// plot draws asked, served and the best possible over time.
func plot(r *Report) []byte {
	top := r.Capacity
	for _, v := range append(append([]float64(nil), r.Over...), r.Asked...) {
		top = max(top, v)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="white"/>`+"\n", plotWidth, plotHeight)
	curve(&b, r.Asked, top, "#bbbbbb")
	curve(&b, r.Over, top, "#1f6f43")
	y := height(r.Best, top)
	fmt.Fprintf(&b, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#b03030" stroke-dasharray="4"/>`+"\n", plotMargin, plotWidth-plotMargin, y, y)
	fmt.Fprintf(&b, `<text x="%d" y="16">%s, %s: asked (grey), served (green), best during events (red), requests/s up to %.0f, %.0f s</text>`+"\n",
		plotMargin, r.Name, r.Mode, top, float64(len(r.Over))*slice.Seconds())
	b.WriteString("</svg>\n")
	return b.Bytes()
}

func height(v, top float64) float64 {
	return plotHeight - plotMargin - v/top*(plotHeight-2*plotMargin)
}

func curve(b *bytes.Buffer, values []float64, top float64, colour string) {
	fmt.Fprintf(b, `<polyline fill="none" stroke="%s" points="`, colour)
	step := float64(plotWidth-2*plotMargin) / float64(max(len(values)-1, 1))
	for i, v := range values {
		fmt.Fprintf(b, "%.1f,%.1f ", plotMargin+float64(i)*step, height(v, top))
	}
	b.WriteString(`"/>` + "\n")
}
