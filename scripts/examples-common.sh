# Commands that work against both deployments; sourced by the files of the deployments.
callers="http://127.0.0.1:${caller_ports[0]}"
second="http://127.0.0.1:${caller_ports[1]}"
admin="http://127.0.0.1:$admin_port"
curl="curl -sS --fail-with-body -H 'Authorization: Bearer $caller_token'"

chat() { # ROUTER SERVICE MODEL QUESTION STREAM
    echo "$curl -N $1/v1/chat/completions -H 'X-Service: $2'" \
        "-d '{\"model\":\"$3\",\"messages\":[{\"role\":\"user\",\"content\":\"$4\"}],\"max_tokens\":8,\"stream\":$5}'"
}

call() { # ROUTER SERVICE KEY BODY
    echo "$curl $1/v1/services/$2/calls -H 'Idempotency-Key: $3' -d '$4'"
}

administration() {
    echo "curl -sSf $admin/readyz"
    echo "curl -sSf $admin/metrics | grep dandelionwall_requests_total"
    echo "dandelionwall --router 127.0.0.1:$admin_port --token-file $work/token 'list upstream where kind = plain'"
    echo "curl -sSf $admin/v1/statements -H 'Authorization: Bearer $operator_token' -d '{\"text\":\"history limit 1\"}' | head -c 200"
    echo "test \$(curl -s -o $work/answer -w '%{http_code}' $callers/v1/chat/completions -d '{}') = 401 && cat $work/answer"
}
