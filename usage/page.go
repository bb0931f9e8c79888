package usage

import (
	"html/template"
	"io"
)

const pageBarWidthPx = 400

var pageTemplate = template.Must(template.New("usage").Funcs(template.FuncMap{
	"percent": func(share float64) float64 { return 100 * share },
	"width":   func(share float64) float64 { return pageBarWidthPx * share },
}).Parse(`<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="refresh" content="5">
<title>gypsumbank: use by member</title>
<style>
body { font: 16px/1.5 sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; }
th, td { padding: 0.3em 1em 0.3em 0; text-align: right; white-space: nowrap; }
th:first-child, td:first-child { text-align: left; }
thead th { border-bottom: 1px solid #888; }
</style>
</head>
<body>
<h1>Use by member</h1>
<p>The bar is a member's part of all accelerator time, the line its allowance.</p>
<table>
<thead><tr><th>member</th><th>allowance</th><th>use</th><th></th><th>accelerator s</th><th>tokens</th><th>requests</th></tr></thead>
<tbody>
{{range .Members}}<tr>
<td>{{.Name}}</td>
<td>{{printf "%.1f" (percent .ShareOfAllowance)}} %</td>
<td>{{printf "%.1f" (percent .ShareOfUse)}} %</td>
<td><svg width="402" height="20" role="img" aria-label="use beside allowance">
<rect x="0.5" y="0.5" width="400" height="19" fill="#eee" stroke="#bbb"/>
<rect x="0.5" y="3" width="{{printf "%.1f" (width .ShareOfUse)}}" height="14" fill="{{if gt .ShareOfUse .ShareOfAllowance}}#d95f02{{else}}#1b9e77{{end}}"/>
<line x1="{{printf "%.1f" (width .ShareOfAllowance)}}" x2="{{printf "%.1f" (width .ShareOfAllowance)}}" y1="0" y2="20" stroke="#000" stroke-width="2"/>
</svg></td>
<td>{{printf "%.1f" .AcceleratorSeconds}}</td>
<td>{{.CompletionTokens}}</td>
<td>{{.Requests}}</td>
</tr>{{end}}
</tbody>
</table>
{{if .Nodes}}<h2>Accelerator seconds by node</h2>
<table>
<thead><tr><th>node</th>{{range .Members}}<th>{{.Name}}</th>{{end}}</tr></thead>
<tbody>
{{$members := .Members}}{{range .Nodes}}{{$node := .}}<tr><td>{{.Name}}</td>{{range $members}}<td>{{printf "%.1f" (index $node.Seconds .Name)}}</td>{{end}}</tr>
{{end}}</tbody>
</table>{{end}}
</body>
</html>
`))

// WriteHTML writes the report as an HTML page that loads no other files.
func (r *Report) WriteHTML(out io.Writer) error { return pageTemplate.Execute(out, r) }
