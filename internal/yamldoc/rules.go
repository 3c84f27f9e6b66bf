package yamldoc

import (
	"errors"
	"fmt"
	"net"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

// CheckTags notes a problem for each rule of the struct's validate tags that
// the decoded document breaks.
func (s *Source) CheckTags(document any) {
	err := rules.Struct(document)
	var broken validator.ValidationErrors
	if !errors.As(err, &broken) {
		return
	}
	for _, field := range broken {
		s.Add(pathOf(field), valueOf(field), sentence(field))
	}
}

var rules = newRules()

func newRules() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	for tag, rule := range map[string]validator.Func{
		"listen_address": isListenAddress,
		"name":           isName,
	} {
		if err := v.RegisterValidation(tag, rule); err != nil {
			panic(err)
		}
	}
	return v
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// isName takes names that are safe in headers, URL paths and store keys.
func isName(field validator.FieldLevel) bool {
	return namePattern.MatchString(field.Field().String())
}

// isListenAddress takes host:port, with port 0 for one the system chooses.
func isListenAddress(field validator.FieldLevel) bool {
	_, port, err := net.SplitHostPort(field.Field().String())
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

// pathOf returns the field's path without the name of the outermost type.
func pathOf(field validator.FieldError) string {
	_, path, _ := strings.Cut(field.Namespace(), ".")
	return path
}

func valueOf(field validator.FieldError) string {
	switch field.Kind() {
	case reflect.Slice, reflect.Map, reflect.Struct:
		return ""
	default:
		return fmt.Sprint(field.Value())
	}
}

// sentence says which rule is broken.
func sentence(field validator.FieldError) string {
	param := field.Param()
	switch field.Tag() {
	case "required", "required_with":
		return "is required"
	case "min":
		return "needs at least " + param
	case "max":
		return "takes at most " + param
	case "gt":
		return "must be more than " + param
	case "gte":
		return "must be at least " + param
	case "lte":
		return "must be at most " + param
	case "gtefield":
		return "must not be less than " + snake(param)
	case "oneof":
		return "must be one of: " + strings.ReplaceAll(param, " ", ", ")
	case "unique":
		return "entries must differ in " + snake(param)
	case "len":
		return "must have " + param + " characters"
	case "hexadecimal":
		return "must be hexadecimal"
	case "name":
		return "must have letters, digits, dots, dashes and underscores only"
	case "hostname_port", "listen_address":
		return "must be host:port"
	case "startswith":
		return "must start with " + param
	default:
		return strings.TrimSpace("breaks the rule " + field.Tag() + " " + param)
	}
}

// snake turns a Go field name into the document's.
func snake(name string) string {
	if name == "" {
		return "value"
	}
	var b strings.Builder
	for i, r := range name {
		if i > 0 && r >= 'A' && r <= 'Z' {
			b.WriteByte('_')
		}
		b.WriteRune(r)
	}
	return strings.ToLower(b.String())
}
