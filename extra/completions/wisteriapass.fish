# Completions of wisteriapass for fish.

set -l commands check diff apply show topup drain undrain evacuate digest export explain explain-placement
set -l none "not __fish_seen_subcommand_from $commands"

complete -c wisteriapass -f
complete -c wisteriapass -s h -l help -d "print help"
complete -c wisteriapass -n $none -l store -x -d "address of the key-value service"
complete -c wisteriapass -n $none -l json -d "print one line of JSON"
complete -c wisteriapass -n $none -a check -d "check an inventory and rules"
complete -c wisteriapass -n $none -a diff -d "show what applying would change"
complete -c wisteriapass -n $none -a apply -d "apply an inventory and rules"
complete -c wisteriapass -n $none -a show -d "show the state of the fleet"
complete -c wisteriapass -n $none -a topup -d "add prepaid tokens to a budget"
complete -c wisteriapass -n $none -a drain -d "stop sending new work to a target or VM"
complete -c wisteriapass -n $none -a undrain -d "resume sending work to a target or VM"
complete -c wisteriapass -n $none -a evacuate -d "stop sending new work to a failure domain"
complete -c wisteriapass -n "__fish_seen_subcommand_from evacuate" -l back -d "resume sending work to its targets"
complete -c wisteriapass -n $none -a digest -d "print the digest of a key"
complete -c wisteriapass -n $none -a export -d "write the configuration to files"
complete -c wisteriapass -n $none -a explain -d "explain the outcome of a request"
complete -c wisteriapass -n $none -a explain-placement -d "explain where a request would go now"
complete -c wisteriapass -n "__fish_seen_subcommand_from check diff apply export explain" -F
complete -c wisteriapass -n "__fish_seen_subcommand_from apply" -l from -x -d "revision edited from"
complete -c wisteriapass -n "__fish_seen_subcommand_from apply drain undrain evacuate" -l op -x -d "operation id"
complete -c wisteriapass -n "__fish_seen_subcommand_from topup" -l id -x -d "id of the top-up"
complete -c wisteriapass -n "__fish_seen_subcommand_from show" -l inventory -r -F -d "inventory file"
complete -c wisteriapass -n "__fish_seen_subcommand_from show" \
    -a "targets budgets grants refusals retries revision"

set -l placement "__fish_seen_subcommand_from explain-placement"
complete -c wisteriapass -n $placement -l router -x -d "metrics and readiness address of the router"
complete -c wisteriapass -n $placement -l host -x -d "host of the request"
complete -c wisteriapass -n $placement -l path -x -d "path of the request"
complete -c wisteriapass -n $placement -l account -x -d "name of the account"
complete -c wisteriapass -n $placement -l key -x -d "key of the account, or - for standard input"
complete -c wisteriapass -n $placement -l prompt-parts -x -d "parts of the prompt, as ID:N,..."
complete -c wisteriapass -n $placement -l tokens -x -d "prompt tokens and most output tokens, as IN,OUT"
complete -c wisteriapass -n $placement -l remaining -x -d "time that the caller will wait, in milliseconds"
complete -c wisteriapass -n $placement -l request -r -F -d "saved request"
complete -c wisteriapass -n $placement -l json -d "print one line of JSON"
