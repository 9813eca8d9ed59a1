package commander

// The library's own help ends with the flags. Here each verb's help ends with an example, which is what a reader in
// a hurry copies, and the program's with the exit codes, which scripts rely on.

const rootHelp = `An overload control layer for service call graphs: the node, its stand-ins for tests, and the operators' verbs.`

const exitCodes = `Exit codes:
  0  done
  1  refused, or failed for good
  2  faulty command line or file; nothing was tried
  3  the log or a node gave no answer; the outcome may be unknown
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
