package lab

import (
	"errors"
	"math"
)

// errSingular is returned if the samples do not determine the coefficients.
var errSingular = errors.New("the samples do not determine the coefficients")

// pivotLimit is the size, relative to the column norms, below which a pivot is treated as zero.
const pivotLimit = 1e-9

// Line is a least-squares line y = Intercept + Slope * x.
type Line struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
}

// FitLine returns the least-squares line through the points.
func FitLine(x, y []float64) (Line, error) {
	rows := make([][]float64, len(x))
	for i := range x {
		rows[i] = []float64{1, x[i]}
	}
	c, err := leastSquares(rows, y)
	if err != nil {
		return Line{}, err
	}
	return Line{Intercept: c[0], Slope: c[1]}, nil
}

// leastSquares returns the coefficients c that minimize the sum of (rows*c - y)^2.
func leastSquares(rows [][]float64, y []float64) ([]float64, error) {
	if len(rows) == 0 || len(rows) < len(rows[0]) {
		return nil, errSingular
	}
	n := len(rows[0])
	scale := columnScale(rows)
	// normal is the matrix of the normal equations, with the right-hand side as its last column.
	normal := make([][]float64, n)
	for i := range normal {
		normal[i] = make([]float64, n+1)
		for k, row := range rows {
			for j := range n {
				normal[i][j] += row[i] * row[j] / (scale[i] * scale[j])
			}
			normal[i][n] += row[i] * y[k] / scale[i]
		}
	}
	c, err := solve(normal)
	if err != nil {
		return nil, err
	}
	for i := range c {
		c[i] /= scale[i]
	}
	return c, nil
}

// columnScale returns the Euclidean norm of each column. Scaling by it lets pivotLimit apply to columns of any magnitude.
func columnScale(rows [][]float64) []float64 {
	scale := make([]float64, len(rows[0]))
	for _, row := range rows {
		for j, value := range row {
			scale[j] = math.Hypot(scale[j], value)
		}
	}
	for j := range scale {
		if scale[j] == 0 {
			scale[j] = 1
		}
	}
	return scale
}

// solve applies Gaussian elimination with partial pivoting to an augmented matrix. It modifies the matrix.
func solve(m [][]float64) ([]float64, error) {
	n := len(m)
	for column := range n {
		pivot := column
		for row := column + 1; row < n; row++ {
			if math.Abs(m[row][column]) > math.Abs(m[pivot][column]) {
				pivot = row
			}
		}
		if math.Abs(m[pivot][column]) < pivotLimit {
			return nil, errSingular
		}
		m[column], m[pivot] = m[pivot], m[column]
		for row := range n {
			if row == column {
				continue
			}
			factor := m[row][column] / m[column][column]
			for j := column; j <= n; j++ {
				m[row][j] -= factor * m[column][j]
			}
		}
	}
	solution := make([]float64, n)
	for i := range solution {
		solution[i] = m[i][n] / m[i][i]
	}
	return solution, nil
}
