package commander

// The library's default help ends with the flags. Here each verb's help also has an example to copy and the exit codes,
// which scripts depend on.

const rootHelp = `An overload control layer for service call graphs: the node, stand-ins for tests, and the operators' verbs.`

const exitCodes = `Exit codes:
  0  done
  1  the change was refused, or the verb failed
  2  invalid command line or file; nothing was changed
  3  the log or a node did not answer; the outcome may be unknown
`

const usageTemplate = `{{define "Arguments" -}}
{{if .FlagSummary}} {{.FlagSummary}}{{end -}}
{{range .Args}}{{if not .Hidden}} {{if not .Required}}[{{end}}<{{.Name}}>{{if not .Required}}]{{end}}{{end}}{{end -}}
{{end -}}
{{define "Commands" -}}
{{range .FlattenedCommands}}{{if not .Hidden}}  {{.FullCommand}}{{template "Arguments" .}}
{{.Help|Wrap 4}}{{end}}{{end -}}
{{end -}}
{{if .Context.SelectedCommand -}}
usage: {{.App.Name}} {{.Context.SelectedCommand}}{{template "Arguments" .Context.SelectedCommand}}{{if .Context.SelectedCommand.Commands}} <command>{{end}}

{{.Context.SelectedCommand.Help|Wrap 0}}
{{else -}}
usage: {{.App.Name}}{{template "Arguments" .App}} <command> [<args> ...]

{{.App.Help|Wrap 0}}
{{end -}}
{{if .Context.Flags}}Flags:
{{.Context.Flags|FlagsToTwoColumns|FormatTwoColumns}}
{{end -}}
{{if .Context.Args}}Arguments:
{{.Context.Args|ArgsToTwoColumns|FormatTwoColumns}}
{{end -}}
{{if .Context.SelectedCommand -}}
{{if .Context.SelectedCommand.Commands}}Commands:
{{template "Commands" .Context.SelectedCommand}}
{{end -}}
{{if .Context.SelectedCommand.HelpLong}}Example:
  {{.Context.SelectedCommand.HelpLong}}

{{end -}}
{{else if .App.Commands}}Commands:
{{template "Commands" .App}}
{{end -}}
` + exitCodes
