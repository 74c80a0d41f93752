package experiment

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
)

const (
	// tableVersion is incremented when the meaning of a column changes, so that older tables are rejected instead of misread.
	tableVersion       = "woodlab-table-1"
	tableVersionPrefix = "woodlab-table-"

	variantsProperty = "variants="
	variantSeparator = "|"
)

// runColumns are the columns that identify the run of a row. They precede the metric columns.
var runColumns = []string{"day", "variant", "seed", "round", "counts"}

// Table is the result of an experiment. Its file is tab-separated: the first line has the version and the properties, the
// second the names of the columns, and each further line a row.
type Table struct {
	Properties []string // conditions such as commit, cores and variants, each as name=value
	Rows       []Row
}

// Row is the result of one run.
type Row struct {
	Scenario, Variant string
	Seed              uint64
	Round             int
	Valid             bool               // the load generator kept its schedule; comparisons ignore other rows
	Metrics           map[string]float64 // by column name
}

// Write writes the table to a file, which it overwrites if it exists.
func (t *Table) Write(file string) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return t.encode(f)
}

func (t *Table) encode(w io.Writer) error {
	writer := csv.NewWriter(w)
	writer.Comma = '\t'
	lines := [][]string{
		append([]string{tableVersion}, t.Properties...),
		append(slices.Clone(runColumns), metricNames()...),
	}
	for _, row := range t.Rows {
		lines = append(lines, row.fields())
	}
	return writer.WriteAll(lines)
}

// fields returns the fields of the row in the file.
func (r Row) fields() []string {
	fields := []string{
		r.Scenario,
		r.Variant,
		strconv.FormatUint(r.Seed, 10),
		strconv.Itoa(r.Round),
		strconv.FormatBool(r.Valid),
	}
	for _, name := range metricNames() {
		fields = append(fields, strconv.FormatFloat(r.Metrics[name], 'g', -1, 64))
	}
	return fields
}

// ReadTable reads a table file of the current version. An error is one line that names the file and the invalid line.
// Metrics that were added after the table was written are missing from its rows.
func ReadTable(file string) (*Table, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("table: %w", err)
	}
	defer func() { _ = f.Close() }() // opened for reading, so that no data can be lost
	table, err := decodeTable(f)
	if err != nil {
		return nil, fmt.Errorf("table: %s: %w", file, err)
	}
	return table, nil
}

func decodeTable(r io.Reader) (*Table, error) {
	reader := csv.NewReader(r)
	reader.Comma, reader.FieldsPerRecord = '\t', -1
	lines, err := reader.ReadAll()
	if err != nil {
		return nil, err
	}
	if err := checkTableHeader(lines); err != nil {
		return nil, err
	}
	columns := lines[1]
	table := &Table{Properties: lines[0][1:]}
	for i, fields := range lines[2:] {
		lineNumber := i + 3
		if len(fields) != len(columns) {
			return nil, fmt.Errorf("line %d: %d columns", lineNumber, len(fields))
		}
		row, err := parseRow(fields, columns[len(runColumns):])
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", lineNumber, err)
		}
		table.Rows = append(table.Rows, row)
	}
	return table, nil
}

// checkTableHeader checks the version in the first line and the columns in the second. Metric columns that were added after
// the oldest tables may be missing at the end.
func checkTableHeader(lines [][]string) error {
	if len(lines) < 2 || !strings.HasPrefix(lines[0][0], tableVersionPrefix) {
		return errors.New("not a table of an experiment")
	}
	if version := lines[0][0]; version != tableVersion {
		return fmt.Errorf("got version %s, want %s", version, tableVersion)
	}
	columns, known := lines[1], append(slices.Clone(runColumns), metricNames()...)
	if len(columns) < len(runColumns)+minMetricColumns || len(columns) > len(known) ||
		!slices.Equal(columns, known[:len(columns)]) {
		return errors.New("line 2: unknown columns")
	}
	return nil
}

func parseRow(fields, metrics []string) (Row, error) {
	row := Row{Scenario: fields[0], Variant: fields[1], Metrics: map[string]float64{}}
	var err error
	if row.Seed, err = strconv.ParseUint(fields[2], 10, 64); err != nil {
		return Row{}, err
	}
	if row.Round, err = strconv.Atoi(fields[3]); err != nil {
		return Row{}, err
	}
	if row.Valid, err = strconv.ParseBool(fields[4]); err != nil {
		return Row{}, err
	}
	for i, name := range metrics {
		if row.Metrics[name], err = strconv.ParseFloat(fields[len(runColumns)+i], 64); err != nil {
			return Row{}, fmt.Errorf("%s: %w", name, err)
		}
	}
	return row, nil
}

// Variants returns the names of the variants in the order of the experiment, which differs from that of the rows.
func (t *Table) Variants() []string {
	var names []string
	for _, property := range t.Properties {
		if list, ok := strings.CutPrefix(property, variantsProperty); ok {
			names = strings.Split(list, variantSeparator)
		}
	}
	for _, row := range t.Rows {
		if !slices.Contains(names, row.Variant) {
			names = append(names, row.Variant)
		}
	}
	return names
}

// scenarios returns the names of the scenarios in the order of their first rows.
func (t *Table) scenarios() []string {
	var names []string
	for _, row := range t.Rows {
		if !slices.Contains(names, row.Scenario) {
			names = append(names, row.Scenario)
		}
	}
	return names
}

// checkMetric returns an error if tables have no metric column of that name.
func checkMetric(metric string) error {
	if !slices.Contains(metricNames(), metric) {
		return fmt.Errorf("table: no column %q", metric)
	}
	return nil
}
