package chart_test

import (
	"image/png"
	"os"
	"path/filepath"
	"testing"

	"merlinhitch/internal/observe/chart"
)

func drawn(t *testing.T, file string) {
	t.Helper()
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	img, err := png.Decode(f)
	if err != nil {
		t.Fatal(err)
	}
	first := img.At(0, 0)
	for x := range img.Bounds().Dx() {
		for y := range img.Bounds().Dy() {
			if img.At(x, y) != first {
				return
			}
		}
	}
	t.Error("an empty picture")
}

func TestPictures(t *testing.T) {
	dir := t.TempDir()
	h := &chart.Heat{Title: "t", Rows: []string{"a", "b", "c"}, Cols: []string{"x", "y"}, Cells: [][]float64{{0, 1}, {0.5, -1}, {3, 0.2}}, Full: 1}
	for name, draw := range map[string]func(string) error{
		"heat.png": h.Draw,
		"lines.png": func(f string) error {
			return chart.Lines(f, "t", "x", "y", chart.Series{Name: "s", X: []float64{1, 2}, Y: []float64{3, 1}})
		},
		"bars.png": func(f string) error {
			return chart.Bars(f, "t", "y", []string{"a", "b"}, chart.Series{Name: "s", Y: []float64{1, 2}}, chart.Series{Name: "r", Y: []float64{2, 2}})
		},
	} {
		file := filepath.Join(dir, name)
		if err := draw(file); err != nil {
			t.Fatal(err)
		}
		drawn(t, file)
	}
}
