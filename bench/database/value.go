package database

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"lentilwind.dev/bench/internal/statement"
)

// Object ids of PostgreSQL types.
const (
	oidBool    = 16
	oidName    = 19
	oidInt8    = 20
	oidInt2    = 21
	oidInt4    = 23
	oidText    = 25
	oidFloat8  = 701
	oidUnknown = 705
	oidVarchar = 1043
)

const (
	formatCodeText   = 0
	formatCodeBinary = 1
)

func typeOID(t statement.Type) uint32 {
	switch t {
	case statement.TypeInt8:
		return oidInt8
	case statement.TypeBool:
		return oidBool
	case statement.TypeFloat8:
		return oidFloat8
	}
	return oidText
}

func typeSize(t statement.Type) int16 {
	switch t {
	case statement.TypeInt8, statement.TypeFloat8:
		return 8
	case statement.TypeBool:
		return 1
	}
	return -1
}

// acceptsOID reports whether a client may declare a parameter of the type with the object id.
func acceptsOID(t statement.Type, oid uint32) bool {
	switch oid {
	case 0, oidUnknown, typeOID(t):
		return true
	case oidInt2, oidInt4:
		return t == statement.TypeInt8
	case oidVarchar, oidName:
		return t == statement.TypeText
	}
	return false
}

// formatCode returns the format of the i-th value according to the rules of Bind.
func formatCode(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return formatCodeText
}

func formatText(v statement.Value) string {
	switch v.Type {
	case statement.TypeInt8:
		return strconv.FormatInt(v.Int, 10)
	case statement.TypeFloat8:
		return strconv.FormatFloat(v.Float, 'g', -1, 64)
	case statement.TypeBool:
		if v.Bool {
			return "t"
		}
		return "f"
	}
	return v.Text
}

func encodeValue(v statement.Value, format int16) []byte {
	if format == formatCodeText || v.Type == statement.TypeText {
		return []byte(formatText(v))
	}
	switch v.Type {
	case statement.TypeInt8:
		return binary.BigEndian.AppendUint64(nil, uint64(v.Int))
	case statement.TypeFloat8:
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(v.Float))
	}
	if v.Bool {
		return []byte{1}
	}
	return []byte{0}
}

func decodeValue(data []byte, t statement.Type, format int16) (statement.Value, error) {
	if data == nil {
		return statement.Value{}, &statement.Error{Code: "22004", Message: "null values are not supported"}
	}
	if format == formatCodeText || t == statement.TypeText {
		return statement.ParseValue(string(data), t)
	}
	v := statement.Value{Type: t}
	switch {
	case t == statement.TypeInt8 && len(data) == 8:
		v.Int = int64(binary.BigEndian.Uint64(data))
	case t == statement.TypeInt8 && len(data) == 4:
		v.Int = int64(int32(binary.BigEndian.Uint32(data)))
	case t == statement.TypeInt8 && len(data) == 2:
		v.Int = int64(int16(binary.BigEndian.Uint16(data)))
	case t == statement.TypeFloat8 && len(data) == 8:
		v.Float = math.Float64frombits(binary.BigEndian.Uint64(data))
	case t == statement.TypeBool && len(data) == 1:
		v.Bool = data[0] != 0
	default:
		message := fmt.Sprintf("incorrect binary data format of %d bytes for type %s", len(data), t)
		return v, &statement.Error{Code: "22P03", Message: message}
	}
	return v, nil
}

func rowDescription(columns []statement.ResultColumn, formats []int16) *pgproto3.RowDescription {
	description := &pgproto3.RowDescription{}
	for i, c := range columns {
		description.Fields = append(description.Fields, pgproto3.FieldDescription{
			Name: []byte(c.Name), DataTypeOID: typeOID(c.Type), DataTypeSize: typeSize(c.Type),
			TypeModifier: -1, Format: formatCode(formats, i),
		})
	}
	return description
}

func dataRow(values []statement.Value, formats []int16) *pgproto3.DataRow {
	row := &pgproto3.DataRow{}
	for i, v := range values {
		row.Values = append(row.Values, encodeValue(v, formatCode(formats, i)))
	}
	return row
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
