# Print an optspec for argparse to handle cmd's options that are independent of any subcommand.
function __fish_quillcove_global_optspecs
    string join \n h/help V/version
end

function __fish_quillcove_needs_command
    # Figure out if the current invocation already has a command.
    set -l cmd (commandline -opc)
    set -e cmd[1]
    argparse -s (__fish_quillcove_global_optspecs) -- $cmd 2>/dev/null
    or return
    if set -q argv[1]
        # Also print the command, so this can be used to figure out what it is.
        echo $argv[1]
        return 1
    end
    return 0
end

function __fish_quillcove_using_subcommand
    set -l cmd (__fish_quillcove_needs_command)
    test -z "$cmd"
    and return 1
    contains -- $cmd[1] $argv
end

complete -c quillcove -n "__fish_quillcove_needs_command" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_needs_command" -s V -l version -d 'Print version'
complete -c quillcove -n "__fish_quillcove_needs_command" -f -a "entry" -d 'Run an entry between callers and agents'
complete -c quillcove -n "__fish_quillcove_needs_command" -f -a "agent" -d 'Run the agent beside one upstream'
complete -c quillcove -n "__fish_quillcove_needs_command" -f -a "relay" -d 'Run a relay between callers and a platform\'s upstreams'
complete -c quillcove -n "__fish_quillcove_needs_command" -f -a "loader" -d 'Run the loader beside one engine of a platform'
complete -c quillcove -n "__fish_quillcove_needs_command" -f -a "check" -d 'Check a settings file and print all its faults'
complete -c quillcove -n "__fish_quillcove_needs_command" -f -a "dump" -d 'Print the state of a running process'
complete -c quillcove -n "__fish_quillcove_needs_command" -f -a "bundle" -d 'Author, sign and check bundles'
complete -c quillcove -n "__fish_quillcove_needs_command" -f -a "demo" -d 'Run a whole small site in one process, with stand-ins, and print a table'
complete -c quillcove -n "__fish_quillcove_needs_command" -f -a "measure" -d 'Run one of the measurements that the documentation cites'
complete -c quillcove -n "__fish_quillcove_needs_command" -f -a "standin" -d 'Run a stand-in, for trials'
complete -c quillcove -n "__fish_quillcove_needs_command" -f -a "generate" -d 'Write man pages and shell completions'
complete -c quillcove -n "__fish_quillcove_needs_command" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c quillcove -n "__fish_quillcove_using_subcommand entry" -s c -l config -d 'Settings in INI' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand entry" -l set -d 'Set one value in place of the file\'s; environment variables such as QUILLCOVE_PROCESS_HOST go before both' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand entry" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand agent" -s c -l config -d 'Settings in INI' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand agent" -l set -d 'Set one value in place of the file\'s; environment variables such as QUILLCOVE_PROCESS_HOST go before both' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand agent" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand relay" -s c -l config -d 'Settings in INI' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand relay" -l set -d 'Set one value in place of the file\'s; environment variables such as QUILLCOVE_PROCESS_HOST go before both' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand relay" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand loader" -s c -l config -d 'Settings in INI' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand loader" -l set -d 'Set one value in place of the file\'s; environment variables such as QUILLCOVE_PROCESS_HOST go before both' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand loader" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand check" -l role -d 'Whose settings; an [upstream] section means agent' -r -f -a "entry\t''
agent\t''
relay\t''
loader\t''"
complete -c quillcove -n "__fish_quillcove_using_subcommand check" -l set -d 'Set one value in place of the file\'s; environment variables such as QUILLCOVE_PROCESS_HOST go before both' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand check" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand dump" -l json -d 'Print JSON'
complete -c quillcove -n "__fish_quillcove_using_subcommand dump" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and not __fish_seen_subcommand_from keygen sign verify show diff help" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and not __fish_seen_subcommand_from keygen sign verify show diff help" -f -a "keygen" -d 'Write a new signing key and print its public key'
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and not __fish_seen_subcommand_from keygen sign verify show diff help" -f -a "sign" -d 'Check and sign a bundle, and write the values to publish'
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and not __fish_seen_subcommand_from keygen sign verify show diff help" -f -a "verify" -d 'Check a bundle\'s signature'
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and not __fish_seen_subcommand_from keygen sign verify show diff help" -f -a "show" -d 'Print what is in a bundle'
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and not __fish_seen_subcommand_from keygen sign verify show diff help" -f -a "diff" -d 'Print what changes between two bundles'
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and not __fish_seen_subcommand_from keygen sign verify show diff help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and __fish_seen_subcommand_from keygen" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and __fish_seen_subcommand_from sign" -l key -d 'Signing key' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and __fish_seen_subcommand_from sign" -l previous -d 'Bundle of the version before, for the difference' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and __fish_seen_subcommand_from sign" -l out -d 'Folder for the values' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and __fish_seen_subcommand_from sign" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and __fish_seen_subcommand_from verify" -l head -d 'Head written by sign' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and __fish_seen_subcommand_from verify" -l public-key -d 'Public key' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and __fish_seen_subcommand_from verify" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and __fish_seen_subcommand_from show" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and __fish_seen_subcommand_from diff" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and __fish_seen_subcommand_from help" -f -a "keygen" -d 'Write a new signing key and print its public key'
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and __fish_seen_subcommand_from help" -f -a "sign" -d 'Check and sign a bundle, and write the values to publish'
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and __fish_seen_subcommand_from help" -f -a "verify" -d 'Check a bundle\'s signature'
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and __fish_seen_subcommand_from help" -f -a "show" -d 'Print what is in a bundle'
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and __fish_seen_subcommand_from help" -f -a "diff" -d 'Print what changes between two bundles'
complete -c quillcove -n "__fish_quillcove_using_subcommand bundle; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c quillcove -n "__fish_quillcove_using_subcommand demo" -l adapters -d 'Adapters in the bundle' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand demo" -l engines -d 'Engines' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand demo" -l rate -d 'Requests a second' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand demo" -l seconds -d 'Length of the stream of requests' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand demo" -l serve -d 'Send nothing; keep the site up and print how to call it'
complete -c quillcove -n "__fish_quillcove_using_subcommand demo" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand measure; and not __fish_seen_subcommand_from latency policy help" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand measure; and not __fish_seen_subcommand_from latency policy help" -f -a "latency" -d 'Measure what entry and agent add to a call'
complete -c quillcove -n "__fish_quillcove_using_subcommand measure; and not __fish_seen_subcommand_from latency policy help" -f -a "policy" -d 'Compare the rules for routing, slots and loads with the baselines'
complete -c quillcove -n "__fish_quillcove_using_subcommand measure; and not __fish_seen_subcommand_from latency policy help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c quillcove -n "__fish_quillcove_using_subcommand measure; and __fish_seen_subcommand_from latency" -l calls -d 'Calls of each kind' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand measure; and __fish_seen_subcommand_from latency" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand measure; and __fish_seen_subcommand_from policy" -l seconds -d 'Length of each run' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand measure; and __fish_seen_subcommand_from policy" -l only -d 'Scenarios whose names begin so' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand measure; and __fish_seen_subcommand_from policy" -l policy -d 'Policies whose names begin so' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand measure; and __fish_seen_subcommand_from policy" -l out -d 'File for the results, as JSON' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand measure; and __fish_seen_subcommand_from policy" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand measure; and __fish_seen_subcommand_from help" -f -a "latency" -d 'Measure what entry and agent add to a call'
complete -c quillcove -n "__fish_quillcove_using_subcommand measure; and __fish_seen_subcommand_from help" -f -a "policy" -d 'Compare the rules for routing, slots and loads with the baselines'
complete -c quillcove -n "__fish_quillcove_using_subcommand measure; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and not __fish_seen_subcommand_from engine service platform help" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and not __fish_seen_subcommand_from engine service platform help" -f -a "engine" -d 'A model engine'
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and not __fish_seen_subcommand_from engine service platform help" -f -a "service" -d 'A plain service that counts bookings'
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and not __fish_seen_subcommand_from engine service platform help" -f -a "platform" -d 'Configuration values, host list and weight store'
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and not __fish_seen_subcommand_from engine service platform help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and __fish_seen_subcommand_from engine" -l listen -d 'Address to listen on' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and __fish_seen_subcommand_from engine" -l store -d 'Weight store, as http://address' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and __fish_seen_subcommand_from engine" -l slots -d 'Adapter slots' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and __fish_seen_subcommand_from engine" -l batch -d 'Requests in one batch' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and __fish_seen_subcommand_from engine" -l step-ms -d 'Time of one step' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and __fish_seen_subcommand_from engine" -l no-fence -d 'Take orders whatever their fence'
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and __fish_seen_subcommand_from engine" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and __fish_seen_subcommand_from service" -l listen -d 'Address to listen on' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and __fish_seen_subcommand_from service" -l delay-ms -d 'Time of one call' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and __fish_seen_subcommand_from service" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and __fish_seen_subcommand_from platform" -l listen -d 'Address to listen on' -r
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and __fish_seen_subcommand_from platform" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and __fish_seen_subcommand_from help" -f -a "engine" -d 'A model engine'
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and __fish_seen_subcommand_from help" -f -a "service" -d 'A plain service that counts bookings'
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and __fish_seen_subcommand_from help" -f -a "platform" -d 'Configuration values, host list and weight store'
complete -c quillcove -n "__fish_quillcove_using_subcommand standin; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c quillcove -n "__fish_quillcove_using_subcommand generate" -s h -l help -d 'Print help'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and not __fish_seen_subcommand_from entry agent relay loader check dump bundle demo measure standin generate help" -f -a "entry" -d 'Run an entry between callers and agents'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and not __fish_seen_subcommand_from entry agent relay loader check dump bundle demo measure standin generate help" -f -a "agent" -d 'Run the agent beside one upstream'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and not __fish_seen_subcommand_from entry agent relay loader check dump bundle demo measure standin generate help" -f -a "relay" -d 'Run a relay between callers and a platform\'s upstreams'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and not __fish_seen_subcommand_from entry agent relay loader check dump bundle demo measure standin generate help" -f -a "loader" -d 'Run the loader beside one engine of a platform'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and not __fish_seen_subcommand_from entry agent relay loader check dump bundle demo measure standin generate help" -f -a "check" -d 'Check a settings file and print all its faults'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and not __fish_seen_subcommand_from entry agent relay loader check dump bundle demo measure standin generate help" -f -a "dump" -d 'Print the state of a running process'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and not __fish_seen_subcommand_from entry agent relay loader check dump bundle demo measure standin generate help" -f -a "bundle" -d 'Author, sign and check bundles'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and not __fish_seen_subcommand_from entry agent relay loader check dump bundle demo measure standin generate help" -f -a "demo" -d 'Run a whole small site in one process, with stand-ins, and print a table'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and not __fish_seen_subcommand_from entry agent relay loader check dump bundle demo measure standin generate help" -f -a "measure" -d 'Run one of the measurements that the documentation cites'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and not __fish_seen_subcommand_from entry agent relay loader check dump bundle demo measure standin generate help" -f -a "standin" -d 'Run a stand-in, for trials'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and not __fish_seen_subcommand_from entry agent relay loader check dump bundle demo measure standin generate help" -f -a "generate" -d 'Write man pages and shell completions'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and not __fish_seen_subcommand_from entry agent relay loader check dump bundle demo measure standin generate help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and __fish_seen_subcommand_from bundle" -f -a "keygen" -d 'Write a new signing key and print its public key'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and __fish_seen_subcommand_from bundle" -f -a "sign" -d 'Check and sign a bundle, and write the values to publish'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and __fish_seen_subcommand_from bundle" -f -a "verify" -d 'Check a bundle\'s signature'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and __fish_seen_subcommand_from bundle" -f -a "show" -d 'Print what is in a bundle'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and __fish_seen_subcommand_from bundle" -f -a "diff" -d 'Print what changes between two bundles'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and __fish_seen_subcommand_from measure" -f -a "latency" -d 'Measure what entry and agent add to a call'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and __fish_seen_subcommand_from measure" -f -a "policy" -d 'Compare the rules for routing, slots and loads with the baselines'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and __fish_seen_subcommand_from standin" -f -a "engine" -d 'A model engine'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and __fish_seen_subcommand_from standin" -f -a "service" -d 'A plain service that counts bookings'
complete -c quillcove -n "__fish_quillcove_using_subcommand help; and __fish_seen_subcommand_from standin" -f -a "platform" -d 'Configuration values, host list and weight store'
