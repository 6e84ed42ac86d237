package strictyaml

import (
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"strconv"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// scalarParser returns the value of a node, or a description of what was expected instead.
type scalarParser func(node ast.Node) (value any, expected string)

var scalarParsers = map[reflect.Type]scalarParser{
	reflect.TypeFor[int]():            parseInteger,
	reflect.TypeFor[int64]():          parseInteger,
	reflect.TypeFor[float64]():        parseNumber,
	reflect.TypeFor[bool]():           parseBool,
	reflect.TypeFor[time.Duration]():  parseDuration,
	reflect.TypeFor[netip.AddrPort](): parseAddrPort,
}

func parseText(node ast.Node) (any, string) {
	switch typed := node.(type) {
	case *ast.StringNode:
		return typed.Value, ""
	case *ast.LiteralNode:
		return typed.Value.Value, ""
	}
	return nil, "a text (in quotes where it looks like a number or a truth value)"
}

func parseInteger(node ast.Node) (any, string) {
	const wants = "a whole number"
	integer, isInteger := node.(*ast.IntegerNode)
	if !isInteger {
		return nil, wants
	}
	switch value := integer.Value.(type) {
	case int64:
		return value, ""
	case uint64:
		if value <= math.MaxInt64 {
			return int64(value), ""
		}
	}
	return nil, wants + " of at most " + strconv.Itoa(math.MaxInt64)
}

func parseNumber(node ast.Node) (any, string) {
	switch typed := node.(type) {
	case *ast.IntegerNode:
		value, wants := parseInteger(node)
		if wants == "" {
			return float64(value.(int64)), ""
		}
	case *ast.FloatNode:
		if !math.IsInf(typed.Value, 0) && !math.IsNaN(typed.Value) {
			return typed.Value, ""
		}
	}
	return nil, "a finite number"
}

func parseBool(node ast.Node) (any, string) {
	typed, isBool := node.(*ast.BoolNode)
	if !isBool {
		return nil, "true or false"
	}
	return typed.Value, ""
}

func parseDuration(node ast.Node) (any, string) {
	const wants = "a duration with its unit, such as 250ms, 30s, 5m or 8h"
	text, isText := node.(*ast.StringNode)
	if !isText {
		return nil, wants
	}
	value, err := time.ParseDuration(text.Value)
	if err != nil {
		return nil, wants
	}
	return value, ""
}

func parseAddrPort(node ast.Node) (any, string) {
	const wants = "an IP number and a port, such as 127.0.0.1:8080 or [::1]:8080 (host names are not looked up)"
	text, isText := node.(*ast.StringNode)
	if !isText {
		return nil, wants
	}
	value, err := netip.ParseAddrPort(text.Value)
	if err != nil {
		return nil, wants
	}
	return value, ""
}

const maxQuotedRunes = 60

// describe returns a description of a node for messages: its type and, for a scalar, its value.
func describe(node ast.Node) string {
	switch typed := node.(type) {
	case *ast.StringNode:
		return fmt.Sprintf("%q", Shorten(typed.Value))
	case *ast.LiteralNode:
		return "a block of text"
	case *ast.IntegerNode:
		return "the number " + Shorten(typed.Token.Value)
	case *ast.FloatNode:
		return "the number " + Shorten(typed.Token.Value)
	case *ast.BoolNode:
		return strconv.FormatBool(typed.Value)
	case *ast.NullNode:
		return "nothing"
	case *ast.SequenceNode:
		return "a list"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	default:
		return Shorten(node.String())
	}
}

// Shorten truncates a text that is quoted in a message to maxQuotedRunes.
func Shorten(text string) string {
	runes := []rune(text)
	if len(runes) <= maxQuotedRunes {
		return text
	}
	return string(runes[:maxQuotedRunes]) + "…"
}
