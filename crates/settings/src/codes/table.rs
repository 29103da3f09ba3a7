//! The table of result codes.

use super::{Class, Code, Entry};

macro_rules! codes {
    ($(
        $name:ident = $number:literal, $text_name:literal, $class:ident,
            $text:literal, $action:literal;
    )*) => {
        $(
            #[doc = $text]
            pub const $name: Code = Code($number);
        )*

        /// Every result code of the product, sorted by number.
        pub const TABLE: &[Entry] = &[$(Entry {
            code: $name,
            name: $text_name,
            class: Class::$class,
            text: $text,
            action: $action,
        }),*];
    };
}

codes! {
    SYNTAX = 1001, "syntax", Settings,
        "The document is not valid YAML.",
        "Correct the syntax at the given position.";
    TOO_LARGE = 1002, "too_large", Settings,
        "The document exceeds the platform's size limit for a value.",
        "Split the account or shorten the document.";
    UNKNOWN_FIELD = 1003, "unknown_field", Settings,
        "The field does not exist.",
        "Remove the field or correct its name.";
    DUPLICATE_KEY = 1004, "duplicate_key", Settings,
        "The field is given twice.",
        "Keep one of the two.";
    MISSING_FIELD = 1005, "missing_field", Settings,
        "A required field is missing.",
        "Add the field.";
    WRONG_TYPE = 1006, "wrong_type", Settings,
        "The value is of another type than the field.",
        "Give a value of the expected type; quote text that consists of digits.";
    WRONG_UNIT = 1007, "wrong_unit", Settings,
        "The field or its value is given in another unit.",
        "Give a plain number in the unit named by the field's suffix.";
    OUT_OF_RANGE = 1008, "out_of_range", Settings,
        "The number is outside the range of the field.",
        "Choose a number in the range.";
    UNKNOWN_CHOICE = 1009, "unknown_choice", Settings,
        "The value is not one of those that the field allows.",
        "Choose one of the listed values.";
    EMPTY_LIST = 1010, "empty_list", Settings,
        "The list must not be empty.",
        "Add an entry; to close a service, retire its upstreams first.";
    TOO_MANY = 1011, "too_many", Settings,
        "The list has more entries than allowed.",
        "Split the list over several services or accounts.";
    BAD_NAME = 1012, "bad_name", Settings,
        "The name is empty, too long or contains forbidden characters.",
        "Use 1 to 63 lower-case letters, digits and hyphens, beginning with a letter.";
    BAD_ADDRESS = 1013, "bad_address", Settings,
        "The address is not in the format that the field requires.",
        "Write IP:PORT, or IP:PORT/tcp and IP:PORT/udp for services, IPv6 in brackets.";
    BAD_PREFIX = 1014, "bad_prefix", Settings,
        "The address range is not a valid prefix.",
        "Write ADDRESS/LENGTH with all bits beyond LENGTH set to zero.";
    BAD_KEY = 1015, "bad_key", Settings,
        "The key has the wrong number of hexadecimal digits.",
        "Give exactly the stated number of hexadecimal digits, in quotes.";
    DUPLICATE_NAME = 1016, "duplicate_name", Settings,
        "The name, key number or address occurs twice in one list.",
        "Choose another one.";
    TOO_COMPLEX = 1017, "too_complex", Settings,
        "The document is nested too deeply or uses anchors.",
        "Write the document out without anchors, aliases and merge keys.";
    OTHER_ACCOUNT = 1020, "other_account", Settings,
        "The subtree names another account than the one it is published for.",
        "Publish it under its own account or correct the field `account`.";
    UNKNOWN_ACCOUNT = 1021, "unknown_account", Settings,
        "The root does not list the account.",
        "Have the platform's operators add the account to the root first.";
    FOREIGN_ADDRESS = 1022, "foreign_address", Settings,
        "The address does not belong to the account.",
        "Use an address within the account's prefixes in the root.";
    ENDPOINT_TAKEN = 1023, "endpoint_taken", Settings,
        "Two services list the same address, port and protocol.",
        "Give each service its own endpoint.";
    PREFIX_OVERLAP = 1024, "prefix_overlap", Settings,
        "Two address ranges of the root overlap.",
        "Give each address to one account, once.";
    QUARANTINED_ADDRESS = 1025, "quarantined_address", Settings,
        "The address is in quarantine and may not be used yet.",
        "Wait until the root moves it from `quarantine` to `prefixes`.";
    RETIRED_MISMATCH = 1026, "retired_mismatch", Settings,
        "`state: retired` and `retired:` must be given together.",
        "Give both or neither.";
    VERSION_IN_FUTURE = 1027, "version_in_future", Settings,
        "The `since` or `retired` of an entry is larger than the document's version, or `retired` is not larger than `since`.",
        "Give versions from 1 up to the document's own; `retired` must be larger than `since`.";
    VERSION_NOT_GROWN = 1030, "version_not_grown", Settings,
        "The version is not larger than the one in force.",
        "Publish with a larger version.";
    SPLIT_PUBLICATION = 1031, "split_publication", Settings,
        "Two documents with the same version differ.",
        "Publish again with a larger version, from a single place.";
    REMOVED_BEFORE_RETIRED = 1032, "removed_before_retired", Settings,
        "An upstream of a service with `when_in_doubt: refuse` was removed without being listed as retired.",
        "List it with `state: retired` for one version, then remove it.";
    SINCE_NOT_NEW = 1033, "since_not_new", Settings,
        "A new upstream's `since` is not the version that adds it.",
        "Set `since` to the document's version.";
    SINCE_CHANGED = 1034, "since_changed", Settings,
        "The `since` of an existing upstream changed.",
        "Restore the previous value; a new upstream needs another name.";
    RETIRED_NOT_NEW = 1035, "retired_not_new", Settings,
        "The `retired` of an upstream is not the version that retired it.",
        "Set `retired` to the version that retires the upstream and keep it.";
    MOVED_WITHOUT_QUARANTINE = 1036, "moved_without_quarantine", Settings,
        "An address range moved to another account without quarantine.",
        "List it under the new account's `quarantine` for one version of the root.";
    WRONG_SERVICE = 2001, "wrong_service", Packets,
        "The service is not the one that this agent serves.",
        "None if rare: the sender had older settings. Otherwise compare the settings in force with `goosectl settings`.";
    ALL_FULL = 2002, "all_full", Packets,
        "Every upstream of the service is full or does not accept openings.",
        "Add upstreams or raise `max_flows`.";
    IN_DOUBT = 2003, "in_doubt", Packets,
        "Too few witnesses answered, and the service has `when_in_doubt: refuse`.",
        "Find the unresponsive agents with `goosectl status`; callers may retry.";
    TOMBSTONE = 2004, "tombstone", Packets,
        "The opening was refused before.",
        "None: the caller opens a new connection.";
    UNKNOWN_FLOW = 2005, "unknown_flow", Packets,
        "No agent of the service knows the flow.",
        "None if the flow had ended; otherwise see `goosectl timeline`.";
    HOLDER_SILENT = 2006, "holder_silent", Packets,
        "An agent that may hold the flow has not answered yet.",
        "None: the caller retransmits.";
    TOO_MANY_HOPS = 2007, "too_many_hops", Packets,
        "The packet was forwarded too many times.",
        "Compare the settings in force with `goosectl settings`.";
    OVERLOAD = 2008, "overload", Packets,
        "A bounded table or queue is full.",
        "Add instances or raise the limits of the upstreams.";
    DUPLICATE = 2009, "duplicate", Packets,
        "The packet is a copy of an opening that has already run.",
        "None: the refusal prevents the opening from running twice.";
    STALE_VIEW = 2010, "stale_view", Packets,
        "The sender's settings predate a quarantine of the address.",
        "Find out why the sender lags with `goosectl settings`.";
    MALFORMED = 2101, "malformed", Packets,
        "The packet cannot be parsed.",
        "None if rare; otherwise check the fabric.";
    FRAGMENT = 2102, "fragment", Packets,
        "The packet is an IP fragment.",
        "Lower the MTU of the path so that callers do not fragment.";
    NO_SERVICE = 2103, "no_service", Packets,
        "No service is configured for the destination.",
        "Check the service's `addresses`.";
    BAD_MAC = 2104, "bad_mac", Packets,
        "The packet's authentication code is wrong.",
        "Compare the keys of sender and receiver; if they match, look for forged packets.";
    UNKNOWN_KEY = 2105, "unknown_key", Packets,
        "The packet was signed with a key that is not valid here.",
        "Finish the rotation: give the new key to receivers before senders sign with it.";
    FOREIGN_ACCOUNT = 2106, "foreign_account", Packets,
        "The packet belongs to another account.",
        "Compare the settings in force with `goosectl settings`.";
    NO_AGENT = 2107, "no_agent", Packets,
        "No agent of the service accepts packets.",
        "Add upstreams that are not retired.";
    SEND_FAILED = 2108, "send_failed", Packets,
        "The operating system did not accept the packet for sending.",
        "Check the routes, buffers and limits of the instance.";
    PACKET_TOO_LARGE = 2109, "packet_too_large", Packets,
        "The packet does not fit the path after encapsulation.",
        "Lower the callers' segment size.";
    REPLAYED = 2110, "replayed", Packets,
        "The sealed packet is older than the replay window or was seen before.",
        "None if rare; otherwise compare the clocks of sender and receiver.";
    UNSUPPORTED_PROTOCOL = 2111, "unsupported_protocol", Packets,
        "The packet is neither TCP nor UDP.",
        "None: other protocols are not served.";
    WRONG_RECEIVER = 2112, "wrong_receiver", Packets,
        "The message is for another agent, which used this address before.",
        "None: it stops once the entry of the retired upstream is removed from the settings.";
    PLACED = 2201, "placed", Packets,
        "A new flow was sent to an upstream.",
        "None.";
    REPLACED = 2202, "replaced", Packets,
        "An opening was sent to another upstream because one denied it or did not answer.",
        "None if rare; otherwise check the named upstreams.";
    ASKED = 2203, "asked", Packets,
        "This balancer does not know the flow and is asking for its upstream.",
        "None: expected after a balancer has joined, left or started.";
    REFUSED = 2204, "refused", Packets,
        "Every upstream of the service denied the opening; the caller's connection was reset.",
        "Add upstreams, or find out why all are full.";
    LOST = 2205, "lost", Packets,
        "Every upstream of the service denied the flow; the caller's connection was reset.",
        "None if an upstream crashed; otherwise follow the flow with `goosectl explain`.";
    NOTHING_KNOWN = 2206, "nothing_known", Packets,
        "The packet was dropped: no route or upstream is known, or a denial is not confirmed.",
        "None during a start or an outage; the sender retransmits.";
    UPSTREAM_SILENT = 2207, "upstream_silent", Packets,
        "The upstream beside this agent does not answer openings.",
        "Check the upstream's process.";
    UPSTREAM_ANSWERS = 2208, "upstream_answers", Packets,
        "The upstream beside this agent answers again.",
        "None.";
    FOREIGN_SERVICE = 2209, "foreign_service", Packets,
        "A packet for another service's upstream arrived here and was returned.",
        "None: expected briefly after an address has been reused.";
    LINES_SUPPRESSED = 2210, "lines_suppressed", Packets,
        "Log lines with this code were suppressed by the rate limit.",
        "None; the metrics count every event.";
    WAITED = 2211, "waited", Packets,
        "A request had to wait at the agent because the upstream had no free slot.",
        "Add upstreams if this persists; it is expected for some seconds after an outage.";
    SLOW_ANSWER = 2212, "slow_answer", Packets,
        "The upstream was slow to begin its answer.",
        "Check the upstream: it is slow, starting, or overloaded.";
    NO_ROUTE = 2213, "no_route", Packets,
        "No route exists for the address and port; the caller's connection was reset.",
        "None if the route was removed; otherwise add it.";
    UPSTREAM_SLOW = 2214, "upstream_slow", Packets,
        "The upstream beside this agent takes at least twice as long to answer as before.",
        "Check the upstream; its open flows stay there.";
    UPSTREAM_WELL = 2215, "upstream_well", Packets,
        "The upstream beside this agent answers as fast as before again.",
        "None.";
    OUT_OF_ROTATION = 2216, "out_of_rotation", Packets,
        "For three seconds this balancer's link was saturated or it fell behind with its packets; it asks the fabric to take it out of rotation for a while.",
        "Compare the load of its link and processor with that of other balancers; give it more capacity or remove it.";
    BACK_IN_ROTATION = 2217, "back_in_rotation", Packets,
        "This balancer is back in rotation.",
        "None.";
    ALL_ZONES_CLOSED = 2218, "all_zones_closed", Packets,
        "All ready upstreams of the service are in closed availability zones; the caller's connection was reset.",
        "Open one of the zones again, or add upstreams in others.";
    COLD_LIMIT = 2219, "cold_limit", Packets,
        "The upstream is warming up and has reached its limit of openings. If this holds for all remaining upstreams, the caller's connection was reset.",
        "None during the seconds of a start; if connections are reset, start upstreams in smaller groups.";
    REGION_NOT_ALLOWED = 2220, "region_not_allowed", Packets,
        "No upstream is in a region that the route allows; the caller's connection was reset.",
        "Add upstreams in an allowed region, or allow another region; a zone without a region in the settings belongs to none.";
    TURNED_AWAY = 2221, "turned_away", Packets,
        "An opening reached an upstream that is leaving or whose availability zone is closed, and was returned.",
        "None briefly after the change; if it persists, a balancer has an outdated view.";
    OVERLOADED = 2222, "overloaded", Packets,
        "Callers of the upstream beside this agent are giving up, and an opening was returned.",
        "None if other upstreams have room; otherwise add upstreams.";
    REJECTED_OVERLOAD = 2223, "rejected_overload", Packets,
        "All upstreams that could take the opening are overloaded; the caller's connection was reset.",
        "Add upstreams, or reduce the load.";
    ABANDONED = 2224, "abandoned", Packets,
        "The caller of a request gave up while the request was queued at the agent for a free slot of the upstream.",
        "Add upstreams if this persists; it is expected for some seconds after an outage or a burst of requests.";
    BAD_ARGUMENTS = 3001, "bad_arguments", Start,
        "The command line of the process is wrong.",
        "See `--help`.";
    SETTINGS_UNREADABLE = 3002, "settings_unreadable", Start,
        "The settings file cannot be read.",
        "Check path and permissions.";
    SETTINGS_REFUSED = 3003, "settings_refused", Start,
        "The settings file has a fault.",
        "Correct the fault that the message names.";
    PORT_TAKEN = 3004, "port_taken", Start,
        "An address of the process cannot be bound.",
        "Stop the other process or choose another address.";
    KEY_MISSING = 3005, "key_missing", Start,
        "A key that the process needs is missing or empty.",
        "Add the key to the settings file.";
    PLATFORM_UNREACHABLE = 3006, "platform_unreachable", Start,
        "The platform does not answer and no peer has the settings.",
        "Check `platform_address`; the process stays not ready and retries.";
    NOT_IN_SETTINGS = 3007, "not_in_settings", Start,
        "The published settings do not list this instance's account, service or upstream.",
        "Publish them or correct the process's settings file.";
    THREAD_FAILED = 3008, "thread_failed", Start,
        "A thread or runtime could not be started.",
        "Raise the limits of the instance.";
    SETTINGS_RELOADED = 3009, "settings_reloaded", Start,
        "The settings file was read again and is in force.",
        "None.";
    SETTINGS_KEPT = 3010, "settings_kept", Start,
        "The changed settings file was refused; the previous settings stay in force.",
        "Correct the file.";
    STARTED = 3101, "started", Start,
        "The process has started serving.",
        "None.";
    STOPPED = 3102, "stopped", Start,
        "The process was asked to stop and exits.",
        "None.";
    NOT_READY = 4001, "not_ready", Control,
        "The process is not ready: it cannot tell yet whether its settings are current enough.",
        "Wait; see `/status` for what is missing.";
    BAD_REQUEST = 4002, "bad_request", Control,
        "The request cannot be decoded.",
        "Compare the versions of the two programs.";
    UNKNOWN_RESOURCE = 4003, "unknown_resource", Control,
        "The path or the named object does not exist.",
        "Correct the name.";
    BODY_TOO_LARGE = 4004, "body_too_large", Control,
        "The body exceeds the size limit.",
        "Send a smaller body.";
    OVER_READ_BUDGET = 4005, "over_read_budget", Control,
        "The platform refused a read that exceeded the read budget.",
        "None: the reader backs off as the platform requests.";
    PEER_UNREACHABLE = 4006, "peer_unreachable", Control,
        "A peer's control address does not answer.",
        "None if rare; otherwise check the peer and the path.";
    PLATFORM_STALE = 4007, "platform_stale", Control,
        "The platform answered with an older version than the one in force.",
        "None: the newer version stays in force.";
    LEAVING = 4008, "leaving", Control,
        "The process is shutting down.",
        "Ask another instance.";
    SETTINGS_REJECTED = 4009, "settings_rejected", Control,
        "A published document was refused; the older version stays in force.",
        "Correct the document; `goosectl check` shows every fault.";
    VIEW_COMPLETE = 4101, "view_complete", Control,
        "Routes and upstreams are known; the balancer is ready.",
        "None.";
    STORE_LOST = 4102, "store_lost", Control,
        "The configuration service does not answer; the last view stays in force.",
        "Check the service and the path to it.";
    STORE_REGAINED = 4103, "store_regained", Control,
        "The configuration service answers again.",
        "None.";
    ITEM_REFUSED = 4104, "item_refused", Control,
        "An item of the configuration service is invalid. An invalid configuration changes nothing, an invalid entry names no upstream, and an invalid evacuation closes no zone.",
        "Correct the item.";
    VIEW_CHANGED = 4105, "view_changed", Control,
        "Another configuration or list of upstreams is in force.",
        "None.";
    PEER_VIEW = 4106, "peer_view", Control,
        "A view was received from another balancer.",
        "None.";
    ZONE_CLOSED = 4107, "zone_closed", Control,
        "An availability zone takes no new flows from now on; open flows stay.",
        "None: the change was requested.";
    ZONE_OPENED = 4108, "zone_opened", Control,
        "An availability zone takes new flows again.",
        "None.";
    LIST_OUTDATED = 4109, "list_outdated", Control,
        "An answer of the configuration service is of an earlier era than what is in force, and changed nothing.",
        "If it repeats, check which service the address leads to.";
    WATCH_REFUSED = 4110, "watch_refused", Control,
        "The configuration service does not have the changes after the known revision; the whole list is read.",
        "None if rare: the service forgets its history, or came back from a copy.";
    STORE_RETURNED = 4111, "store_returned", Control,
        "The configuration service came back from an older copy; what the copy lacks is held for a moment.",
        "Write again what the service has lost: configuration and closed zones; upstreams do so themselves.";
    HOLD_ENDED = 4112, "hold_ended", Control,
        "What a copy lacked and nobody has written again is no longer in force.",
        "Compare with what was in force before 4111.";
    USAGE = 5001, "usage", Command,
        "The command line is wrong.",
        "See `goosectl --help`.";
    FILE_UNREADABLE = 5002, "file_unreadable", Command,
        "A file cannot be read.",
        "Check path and permissions.";
    FAULTS_FOUND = 5003, "faults_found", Command,
        "The checked document has faults.",
        "Correct the listed faults.";
    INSTANCE_UNREACHABLE = 5004, "instance_unreachable", Command,
        "An instance does not answer.",
        "Check the instance; the rest of the output is valid.";
    ANSWER_UNREADABLE = 5005, "answer_unreadable", Command,
        "An instance's answer cannot be decoded.",
        "Compare the versions of the programs.";
    BAD_TUPLE = 5006, "bad_tuple", Command,
        "The packet tuple cannot be parsed.",
        "Write it as in the command's `--help`.";
    NOT_FOUND = 5007, "not_found", Command,
        "The named object does not exist.",
        "Correct the name.";
    INSTANCES_LAG = 5008, "instances_lag", Command,
        "Not every instance runs the newest settings.",
        "Wait, or check the instances listed as lagging.";
    TIMED_OUT = 5009, "timed_out", Command,
        "The awaited state was not reached in time.",
        "Wait longer, or check the status.";
    OUTPUT_FAILED = 5010, "output_failed", Command,
        "The output cannot be written.",
        "Check where the output goes.";
}
