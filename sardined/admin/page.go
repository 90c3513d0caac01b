package admin

import "html/template"

// pageTemplate renders a status as the page at /. The page is readable at the width of a telephone and loads no other
// resources.
var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>{{.Host}}</title>
<style>
body { font-family: sans-serif; margin: 0.8em; max-width: 60em; }
h2 { font-size: 1.1em; margin: 1.2em 0 0.3em; }
div { overflow-x: auto; }
table { border-collapse: collapse; font-size: 0.85em; }
th, td { padding: 0.2em 0.6em 0.2em 0; text-align: left; border-bottom: 1px solid #ccc; }
.bad { background: #fcc; font-weight: bold; }
</style>
</head>
<body>
<h1>{{.Host}}</h1>
<p>Data centre {{.DataCentre}}, incarnation {{.Incarnation}}<br>
{{if .InService}}In service{{else}}<span class="bad">Accepts no new work</span>{{end}}{{if .Leaving}}, <span class="bad">leaving</span>{{end}}<br>
Configuration version {{.Configuration.Version}}, age {{.Configuration.Age}}{{if not .LogAnswers}}, <span class="bad">log does not answer</span>{{end}}</p>
<h2>Classes</h2>
<div><table>
<tr><th>class</th><th>service</th><th>target</th><th>deadline</th><th>rank</th><th>queued</th><th>in flight</th></tr>
{{range .Classes}}<tr><td>{{.Name}}</td><td>{{.Service}}</td><td>{{.Target}}</td><td>{{.Deadline}}</td><td>{{.Rank}}</td><td>{{.Queued}}</td><td>{{.InFlight}}</td></tr>
{{end}}</table></div>
<h2>Upstreams</h2>
<div><table>
<tr><th>upstream</th><th>state</th><th>owner</th><th>limit</th><th>held</th><th>in flight</th><th>time</th></tr>
{{range .Upstreams}}<tr><td>{{.ID}}</td><td>{{if .Out}}out of service{{else if .Leaving}}leaving{{else if .Ejected}}<span class="bad">ejected</span>{{else}}in use{{end}}</td><td>{{.Owner}}</td><td>{{.Limit}}</td><td>{{.Held}}</td><td>{{.InFlight}}</td><td>{{.Smoothed}}</td></tr>
{{end}}</table></div>
<h2>Hosts</h2>
<div><table>
<tr><th>host</th><th>data centre</th><th>state</th><th>configuration</th></tr>
{{range .Members}}<tr><td>{{.ID}}</td><td>{{.DataCentre}}</td><td>{{if .Leaving}}leaving{{else if .Reachable}}reachable{{else}}<span class="bad">unreachable</span>{{end}}</td><td>{{.ConfVersion}}</td></tr>
{{end}}</table></div>
<h2>Counters</h2>
<div><table>
<tr><td>requests</td><td>{{.Counters.Requests}}</td></tr>
<tr><td>delivered</td><td>{{.Counters.Delivered}}</td></tr>
<tr><td>retries</td><td>{{.Counters.Retries}}</td></tr>
<tr><td>hedges</td><td>{{.Counters.Hedges}}</td></tr>
{{range $reason, $n := .Counters.Refused}}<tr><td>refused: {{$reason}}</td><td>{{$n}}</td></tr>
{{end}}</table></div>
<p><a href="/status">status</a> <a href="/metrics">metrics</a></p>
</body>
</html>
`))
