package bench

import (
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// plotMeasures is the number of plotted measures: the first ones, by which the
// policies are compared.
const plotMeasures = 4

// WritePlot writes a PNG file with one bar chart per measure, with one group of
// bars per policy and one color per deployment.
func WritePlot(path string, results []Result) error {
	if ext := filepath.Ext(path); ext != ".png" {
		return fault.Newf(fault.KindInvalidSetting, "name a file that ends in .png", "the plot cannot be written as %q", ext).At("plot")
	}
	sums := summarize(results)
	plots := make([][]*plot.Plot, 2)
	for i := range plotMeasures {
		p, err := measurePlot(i, sums)
		if err != nil {
			return err
		}
		plots[i/2] = append(plots[i/2], p)
	}
	img := vgimg.New(16*vg.Inch, 9*vg.Inch)
	canvases := plot.Align(plots, draw.Tiles{Rows: 2, Cols: 2, PadX: vg.Inch / 4, PadY: vg.Inch / 4}, draw.New(img))
	for y, row := range plots {
		for x, p := range row {
			p.Draw(canvases[y][x])
		}
	}
	file, err := os.Create(path)
	if err != nil {
		return fault.Wrap(err, fault.KindInvalidSetting, "the plot file cannot be created", "name a path in a writable folder").At("plot")
	}
	if _, err = (vgimg.PngCanvas{Canvas: img}).WriteTo(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func measurePlot(index int, sums []summary) (*plot.Plot, error) {
	m := Measures()[index]
	p := plot.New()
	p.Title.Text = m.Name
	p.Y.Label.Text = m.Unit
	p.Y.Min = 0
	p.Legend.Top = true
	deployments, policies := names(sums)
	const width = 14
	for d, deployment := range deployments {
		values := make(plotter.Values, len(policies))
		for _, s := range sums {
			if s.deployment == deployment {
				values[indexOf(policies, s.policy)] = s.mean[index]
			}
		}
		bars, err := plotter.NewBarChart(values, vg.Points(width))
		if err != nil {
			return nil, err
		}
		bars.Color = plotutil.Color(d)
		bars.Offset = vg.Points(width * (float64(d) - float64(len(deployments)-1)/2))
		p.Add(bars)
		p.Legend.Add("deployment "+deployment, bars)
	}
	p.NominalX(policies...)
	return p, nil
}

func names(sums []summary) (deployments, policies []string) {
	for _, s := range sums {
		if indexOf(deployments, s.deployment) < 0 {
			deployments = append(deployments, s.deployment)
		}
		if indexOf(policies, s.policy) < 0 {
			policies = append(policies, s.policy)
		}
	}
	return deployments, policies
}

func indexOf(list []string, s string) int {
	for i, x := range list {
		if strings.EqualFold(x, s) {
			return i
		}
	}
	return -1
}
