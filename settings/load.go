package settings

import (
	"fmt"
	"os"
	"reflect"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Limits of a settings file. The memory of the YAML parser grows with the
// square of the nesting: 4,000 open brackets allocate 27 MB, 8,000 allocate 103 MB.
const (
	maxFileBytes = 128 << 10
	maxNesting   = 16  // open brackets and braces
	maxColumn    = 500 // bounds the nesting by indentation
)

// LoadCluster reads a cluster configuration. An error is a Problems that lists
// all errors of the file, or the error of reading the file.
func LoadCluster(path string) (Cluster, error) { return load(path, LoadClusterBytes) }

// LoadClusterBytes reads a cluster configuration. Problems refer to it by the name file.
func LoadClusterBytes(file string, data []byte) (Cluster, error) {
	return parse(file, data, DefaultCluster(), checkComplete)
}

// LoadControl reads the settings of a control node. Its errors are those of LoadCluster.
func LoadControl(path string) (Control, error) { return load(path, LoadControlBytes) }

// LoadControlBytes reads the settings of a control node. Problems refer to it by the name file.
func LoadControlBytes(file string, data []byte) (Control, error) {
	return parse(file, data, DefaultControl())
}

// LoadEntry reads the settings of an entry. Its errors are those of LoadCluster.
func LoadEntry(path string) (Entry, error) { return load(path, LoadEntryBytes) }

// LoadEntryBytes reads the settings of an entry. Problems refer to it by the name file.
func LoadEntryBytes(file string, data []byte) (Entry, error) {
	return parse(file, data, DefaultEntry())
}

// LoadAgent reads the settings of an agent. Its errors are those of LoadCluster.
func LoadAgent(path string) (Agent, error) { return load(path, LoadAgentBytes) }

// LoadAgentBytes reads the settings of an agent. Problems refer to it by the name file.
func LoadAgentBytes(file string, data []byte) (Agent, error) {
	return parse(file, data, DefaultAgent())
}

func load[T any](path string, parseFile func(file string, data []byte) (T, error)) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, errors.Wrap(err, "settings")
	}
	return parseFile(path, data)
}

// parse overwrites defaults with the values of the file and validates the result, also
// with the given checks.
func parse[T Checkable](file string, data []byte, defaults T, checks ...func(T, *report)) (T, error) {
	r := &report{file: file, positions: map[string]position{}}
	root := parseYAML(data, r)
	if root != nil {
		d := decoder{report: r}
		d.decode(root, reflect.ValueOf(&defaults).Elem(), "")
	}
	if root != nil || len(r.problems) == 0 {
		for _, check := range checks {
			check(defaults, r)
		}
		checkByType(defaults, r)
	}
	return defaults, r.err()
}

// parseYAML returns the root of the only document. It returns nil for an empty
// file, and nil with a reported problem for an invalid one.
func parseYAML(data []byte, r *report) (root ast.Node) {
	if len(data) > maxFileBytes {
		r.addAt(position{1, 1}, "", fmt.Sprintf("the file has %d bytes, above the limit of %d", len(data), maxFileBytes), "split the deployment")
		return nil
	}
	defer func() {
		if p := recover(); p != nil { // a panic in the YAML library must not crash a daemon or a command
			root = nil
			r.addAt(position{1, 1}, "", fmt.Sprintf("the YAML parser failed (%v)", p), "use plain keys and values only")
		}
	}()
	tokens := lexer.Tokenize(string(data))
	if !checkTokens(tokens, r) {
		return nil
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		reportSyntaxError(err, r)
		return nil
	}
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		if root != nil {
			r.addAt(nodePosition(doc.Body), "", "the file contains a second document", "remove the line --- and everything after it")
			return nil
		}
		root = doc.Body
	}
	return root
}

// checkTokens reports YAML features that settings don't need, such as anchors,
// and nesting for which the parser would allocate too much memory.
func checkTokens(tokens token.Tokens, r *report) bool {
	nesting := 0
	for _, t := range tokens {
		switch t.Type {
		case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType, token.DirectiveType:
			r.addAt(tokenPosition(t), "", fmt.Sprintf("%q: anchors, aliases, tags, merge keys, ? and %% are not supported", t.Value), "write the keys and values in full")
		case token.SequenceStartType, token.MappingStartType:
			nesting++
		case token.SequenceEndType, token.MappingEndType:
			nesting--
		}
		if nesting > maxNesting || t.Position.Column > maxColumn {
			r.addAt(tokenPosition(t), "", "the nesting is too deep or the line is too long", fmt.Sprintf("use at most %d levels and %d columns", maxNesting, maxColumn))
			return false
		}
	}
	return len(r.problems) == 0
}

func reportSyntaxError(err error, r *report) {
	pos, message := position{1, 1}, err.Error()
	var syntaxError *yaml.SyntaxError
	if errors.As(err, &syntaxError) {
		message = syntaxError.Message
		if syntaxError.Token != nil {
			pos = tokenPosition(syntaxError.Token)
		}
	}
	r.addAt(pos, "", "not valid YAML: "+message, "check indentation, colons and quotes at this position")
}

func nodePosition(n ast.Node) position { return tokenPosition(n.GetToken()) }

func tokenPosition(t *token.Token) position {
	if t == nil || t.Position == nil {
		return position{1, 1}
	}
	return position{max(t.Position.Line, 1), max(t.Position.Column, 1)}
}
