package strictyaml

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Limits of a file. They bound the stack and memory of the parser.
const (
	MaxBytes  = 1 << 20
	MaxDepth  = 16
	maxIndent = 128
	// MaxEntries limits the keys and list entries of one document, because the library's
	// time grows quadratically with their number.
	MaxEntries = 1_000
	// MaxDocuments limits the documents of one file.
	MaxDocuments = 1_000
	// MaxProblems limits the problems that are listed for one file.
	MaxProblems = 100
)

// Document is one parsed document of a file. Its body is a mapping.
type Document struct {
	Position Position
	body     ast.Node
}

// Parse parses the documents of source. Empty documents are left out. A document that
// cannot be parsed results in problems; the others are still returned.
func Parse(source []byte) ([]Document, []Problem) {
	if len(source) > MaxBytes {
		return nil, []Problem{{Message: fmt.Sprintf("the file has %d bytes; at most %d are allowed", len(source), MaxBytes)}}
	}
	if problem, valid := checkText(source); !valid {
		return nil, []Problem{problem}
	}
	var documents []Document
	var problems []Problem
	documentTokens := splitDocuments(lexer.Tokenize(string(source)))
	if len(documentTokens) > MaxDocuments {
		position := tokenPosition(documentTokens[MaxDocuments][0])
		return nil, []Problem{{
			Position: position,
			Message:  fmt.Sprintf("the file has %d documents; at most %d are allowed", len(documentTokens), MaxDocuments),
		}}
	}
	for _, tokens := range documentTokens {
		if found := checkTokens(tokens); len(found) > 0 {
			problems = append(problems, found...)
			continue
		}
		parsed, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
		if err != nil {
			problems = append(problems, syntaxProblem(err, tokens))
			continue
		}
		for _, document := range parsed.Docs {
			if document.Body == nil || document.Body.Type() == ast.NullType || document.Body.Type() == ast.CommentType {
				continue
			}
			if !isMapping(document.Body) {
				problems = append(problems, Problem{
					Position: positionOf(document.Body),
					Message:  "a document is a mapping of keys to values, not " + describe(document.Body),
				})
				continue
			}
			documents = append(documents, Document{Position: positionOf(document.Body), body: document.Body})
		}
	}
	return documents, problems
}

// checkText reports the first byte that is not UTF-8 text or is a control character.
func checkText(source []byte) (Problem, bool) {
	line, column := 1, 1
	for index := 0; index < len(source); {
		char, size := utf8.DecodeRune(source[index:])
		control := char < ' ' && char != '\n' && char != '\t' && char != '\r'
		if control || char == utf8.RuneError && size == 1 {
			return Problem{
				Position: Position{line, column},
				Message:  fmt.Sprintf("byte 0x%02x is not allowed; a file is UTF-8 text", source[index]),
			}, false
		}
		column++
		if char == '\n' {
			line, column = line+1, 1
		}
		index += size
	}
	return Problem{}, true
}

// splitDocuments splits the tokens before each "---". Parsing each document separately
// keeps the time linear in the number of documents and finds the faults of all of them.
func splitDocuments(tokens token.Tokens) []token.Tokens {
	var parts []token.Tokens
	start := 0
	for index, current := range tokens {
		if current.Type == token.DocumentHeaderType && index > start {
			parts = append(parts, tokens[start:index:index])
			start = index
		}
	}
	if start < len(tokens) {
		parts = append(parts, tokens[start:])
	}
	return parts
}

var refusedTokens = map[token.Type]string{
	token.AnchorType:     "an anchor (&) is not allowed; write the value out",
	token.AliasType:      "an alias (*) is not allowed; write the value out",
	token.TagType:        "a tag (!) is not allowed; write the plain value",
	token.MergeKeyType:   "a merge key (<<) is not allowed; write the values out",
	token.DirectiveType:  "a directive (%) is not allowed",
	token.MappingKeyType: "an explicit key (?) is not allowed; write key: value",
}

// checkTokens rejects tokens that the parser would expand or recurse into without a limit.
func checkTokens(tokens token.Tokens) []Problem {
	var problems []Problem
	flowDepth, entries, lineEntries, line := 0, 0, 0, 0
	for _, current := range tokens {
		if current.Type == token.InvalidType {
			return append(problems, Problem{Position: tokenPosition(current), Message: current.Error})
		}
		if message, refused := refusedTokens[current.Type]; refused {
			problems = append(problems, Problem{Position: tokenPosition(current), Message: message})
		}
		if current.Position.Line != line {
			line, lineEntries = current.Position.Line, 0
			if flowDepth == 0 && current.Position.Column > maxIndent && current.Type != token.CommentType {
				return append(problems, Problem{Position: tokenPosition(current), Message: fmt.Sprintf("indented by more than %d columns", maxIndent)})
			}
		}
		switch current.Type {
		case token.SequenceStartType, token.MappingStartType:
			flowDepth++
		case token.SequenceEndType, token.MappingEndType:
			flowDepth--
		case token.SequenceEntryType:
			lineEntries++
			entries++
		case token.MappingValueType, token.CollectEntryType:
			entries++
		}
		if entries > MaxEntries {
			return append(problems, Problem{
				Position: tokenPosition(current),
				Message:  fmt.Sprintf("more than %d keys and list entries in one document", MaxEntries),
			})
		}
		if flowDepth > MaxDepth || lineEntries > MaxDepth {
			return append(problems, Problem{Position: tokenPosition(current), Message: fmt.Sprintf("nested deeper than %d levels", MaxDepth)})
		}
	}
	return problems
}

func syntaxProblem(err error, tokens token.Tokens) Problem {
	problem := Problem{Message: "not valid YAML: " + err.Error()}
	var typed yaml.Error
	if errors.As(err, &typed) {
		problem.Message = "not valid YAML: " + typed.GetMessage()
		if tokenAtFault := typed.GetToken(); tokenAtFault != nil {
			problem.Position = tokenPosition(tokenAtFault)
		}
	}
	if problem.Line == 0 && len(tokens) > 0 {
		problem.Position = tokenPosition(tokens[0])
	}
	return problem
}

func tokenPosition(tok *token.Token) Position {
	return Position{Line: tok.Position.Line, Column: max(tok.Position.Column, 1)}
}

// positionOf returns the start of node. The token of a mapping is its first ":", so the
// start of a mapping is that of its first key.
func positionOf(node ast.Node) Position {
	switch typed := node.(type) {
	case *ast.MappingNode:
		if !typed.IsFlowStyle && len(typed.Values) > 0 {
			return positionOf(typed.Values[0].Key)
		}
	case *ast.MappingValueNode:
		return positionOf(typed.Key)
	}
	if tok := node.GetToken(); tok != nil {
		return tokenPosition(tok)
	}
	return Position{}
}

func truncate(problems []Problem) []Problem {
	if len(problems) <= MaxProblems {
		return problems
	}
	omitted := Problem{Message: fmt.Sprintf("%d more problems are not listed", len(problems)-MaxProblems)}
	omitted.Position = problems[MaxProblems-1].Position
	return append(problems[:MaxProblems:MaxProblems], omitted)
}
