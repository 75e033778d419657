# Completions of wisteriapass for bash.

_wisteriapass() {
    local cur=${COMP_WORDS[COMP_CWORD]} prev=${COMP_WORDS[COMP_CWORD-1]} command="" word
    local commands="check diff apply show topup drain undrain evacuate digest export explain explain-placement"
    for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
        if [[ " $commands " == *" $word "* ]]; then
            command=$word
            break
        fi
    done
    if [[ $prev == --inventory || $prev == --request ]]; then
        mapfile -t COMPREPLY < <(compgen -f -- "$cur")
        return
    fi
    local words=""
    case $command in
        "") words="$commands --help --store --json" ;;
        check | diff) words="--help" ;;
        apply) words="--help --from --op" ;;
        show) words="targets budgets grants refusals retries revision --help --inventory" ;;
        topup) words="--help --id" ;;
        drain | undrain) words="--help --op" ;;
        evacuate) words="--help --back --op" ;;
        digest | export | explain) words="--help" ;;
        explain-placement)
            words="--help --router --host --path --account --key --prompt-parts --tokens --remaining"
            words+=" --request --json"
            ;;
    esac
    mapfile -t COMPREPLY < <(compgen -W "$words" -- "$cur")
    case $command in
        check | diff | apply) mapfile -t -O "${#COMPREPLY[@]}" COMPREPLY < <(compgen -f -- "$cur") ;;
        export) mapfile -t -O "${#COMPREPLY[@]}" COMPREPLY < <(compgen -d -- "$cur") ;;
    esac
}

complete -o filenames -F _wisteriapass wisteriapass
