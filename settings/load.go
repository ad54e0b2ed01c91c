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
	maxNesting   = 16  // brackets and braces within each other
	maxColumn    = 500 // bounds the nesting by indentation
)

// LoadCluster reads a cluster configuration. An error is a Problems with all
// faults of the file, or says why the file can't be read.
func LoadCluster(path string) (Cluster, error) { return load(path, LoadClusterBytes) }

// LoadClusterBytes reads a cluster configuration. file is its name in problems.
func LoadClusterBytes(file string, data []byte) (Cluster, error) {
	return parse(file, data, Defaults())
}

// LoadControl reads the settings of a control node. Errors are as in LoadCluster.
func LoadControl(path string) (Control, error) { return load(path, LoadControlBytes) }

// LoadControlBytes reads the settings of a control node. file is its name in problems.
func LoadControlBytes(file string, data []byte) (Control, error) {
	return parse(file, data, DefaultControl())
}

// LoadEntry reads the settings of an entry. Errors are as in LoadCluster.
func LoadEntry(path string) (Entry, error) { return load(path, LoadEntryBytes) }

// LoadEntryBytes reads the settings of an entry. file is its name in problems.
func LoadEntryBytes(file string, data []byte) (Entry, error) {
	return parse(file, data, DefaultEntry())
}

// LoadAgent reads the settings of an agent. Errors are as in LoadCluster.
func LoadAgent(path string) (Agent, error) { return load(path, LoadAgentBytes) }

// LoadAgentBytes reads the settings of an agent. file is its name in problems.
func LoadAgentBytes(file string, data []byte) (Agent, error) {
	return parse(file, data, DefaultAgent())
}

func load[T any](path string, f func(file string, data []byte) (T, error)) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, errors.Wrap(err, "settings")
	}
	return f(path, data)
}

// parse fills defaults with the values of the file and checks the whole.
func parse[T Checked](file string, data []byte, defaults T) (T, error) {
	r := &report{file: file, places: map[string]place{}}
	root := parseYAML(data, r)
	if root != nil {
		d := decoder{report: r}
		d.decode(root, reflect.ValueOf(&defaults).Elem(), "")
	}
	if root != nil || len(r.problems) == 0 {
		checkAny(defaults, r)
	}
	return defaults, r.err()
}

// parseYAML returns the root of the only document, or nil with a problem
// reported, or nil alone for an empty file.
func parseYAML(data []byte, r *report) (root ast.Node) {
	if len(data) > maxFileBytes {
		r.addAt(place{1, 1}, "", fmt.Sprintf("the file has %d bytes, above the limit of %d", len(data), maxFileBytes), "split the deployment")
		return nil
	}
	defer func() {
		if p := recover(); p != nil { // a fault of the YAML library must not end a daemon or a command
			root = nil
			r.addAt(place{1, 1}, "", fmt.Sprintf("the file can't be read as YAML (%v)", p), "write plain keys and values")
		}
	}()
	tokens := lexer.Tokenize(string(data))
	if !checkTokens(tokens, r) {
		return nil
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		reportSyntax(err, r)
		return nil
	}
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		if root != nil {
			r.addAt(placeOf(doc.Body), "", "the file holds a second document", "remove the line --- and what follows it")
			return nil
		}
		root = doc.Body
	}
	return root
}

// checkTokens reports what settings don't need and the parser can't bound.
func checkTokens(tokens token.Tokens, r *report) bool {
	nesting := 0
	for _, t := range tokens {
		switch t.Type {
		case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType, token.DirectiveType:
			r.addAt(placeOfToken(t), "", fmt.Sprintf("%q: anchors, aliases, tags, merge keys, ? and %% are not supported", t.Value), "write the keys and values out")
		case token.SequenceStartType, token.MappingStartType:
			nesting++
		case token.SequenceEndType, token.MappingEndType:
			nesting--
		}
		if nesting > maxNesting || t.Position.Column > maxColumn {
			r.addAt(placeOfToken(t), "", "the nesting is too deep or the line too long", fmt.Sprintf("use at most %d levels and %d columns", maxNesting, maxColumn))
			return false
		}
	}
	return len(r.problems) == 0
}

func reportSyntax(err error, r *report) {
	at, what := place{1, 1}, err.Error()
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		what = syntax.Message
		if syntax.Token != nil {
			at = placeOfToken(syntax.Token)
		}
	}
	r.addAt(at, "", "not valid YAML: "+what, "check indentation, colons and quotes at this place")
}

func placeOf(n ast.Node) place { return placeOfToken(n.GetToken()) }

func placeOfToken(t *token.Token) place {
	if t == nil || t.Position == nil {
		return place{1, 1}
	}
	return place{max(t.Position.Line, 1), max(t.Position.Column, 1)}
}
