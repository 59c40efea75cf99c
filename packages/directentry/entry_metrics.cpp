#include "directentry/entry_metrics.h"

#include "observe/metrics_registry.h"

#include <variant>

namespace appleramp::entry_metrics {

const metric_descriptor requests { "appleramp_forwarded_requests_total", metric_kind::Counter, "Requests of callers that arrived." };
const metric_descriptor refusals { "appleramp_refusals_total", metric_kind::Counter, "Answers of our own, by reason." };
const metric_descriptor answersDropped { "appleramp_answers_dropped_total", metric_kind::Counter, "Connections that were closed with part of an answer unsent, by cause." };
const metric_descriptor connectionsShed { "appleramp_connections_shed_total", metric_kind::Counter, "Connections that gave way to others, by what was short." };
const metric_descriptor heldBytes { "appleramp_held_bytes", metric_kind::Gauge, "Bytes of requests, answers and connections that are held for callers and endpoints." };
const metric_descriptor heldBytesLimit { "appleramp_held_bytes_limit", metric_kind::Gauge, "Most of these bytes." };
const metric_descriptor attemptEndings { "appleramp_attempt_endings_total", metric_kind::Counter, "Attempts that ended without a whole answer, but for those that were given up in silence, by how." };
const metric_descriptor invalidAnswers { "appleramp_invalid_answers_total", metric_kind::Counter, "Answers of endpoints that were not passed on, by what was wrong with them." };
const metric_descriptor answerTime { "appleramp_answer_seconds", metric_kind::Summary, "From the arrival of a request to the end of its answer." };
const metric_descriptor configurationAge { "appleramp_configuration_age_seconds", metric_kind::Gauge, "Since the sending of the read that confirmed the configuration." };
const metric_descriptor configurationVersion { "appleramp_configuration_version", metric_kind::Gauge, "Version of the configuration in force." };
const metric_descriptor configurationUnreadable { "appleramp_configuration_unreadable", metric_kind::Gauge, "1 while the newest configuration in the store can't be read, else 0." };
const metric_descriptor settingsErrors { "appleramp_settings_errors", metric_kind::Gauge, "Errors of the settings file at the last SIGHUP, with which the process will not start again." };
const metric_descriptor requestsInFlight { "appleramp_requests_in_flight", metric_kind::Gauge, "Requests that are being served." };
const metric_descriptor endpoints { "appleramp_endpoints", metric_kind::Gauge, "Endpoints that are known." };
const metric_descriptor linesLeftOut { "appleramp_log_lines_left_out", metric_kind::Gauge, "Log lines that were counted only." };
const metric_descriptor datagramsDropped { "appleramp_datagrams_dropped", metric_kind::Gauge, "Datagrams that could not be read or sent." };
const metric_descriptor loopDelay { "appleramp_loop_delay_seconds", metric_kind::Summary, "How late the loop's timer fired." };
const metric_descriptor endpointsPaused { "appleramp_endpoints_paused", metric_kind::Gauge, "Endpoints that asked for a pause." };
const metric_descriptor endpointsLimited { "appleramp_endpoints_limited", metric_kind::Gauge, "Endpoints whose requests are limited." };
const metric_descriptor endpointsRestricted { "appleramp_endpoints_restricted", metric_kind::Gauge, "Endpoints that take less than their peers, by reason." };
const metric_descriptor endpointStarts { "appleramp_endpoint_starts", metric_kind::Gauge, "Starts and recoveries of endpoints since the start." };
const metric_descriptor endpointRampsEnded { "appleramp_endpoint_ramps_ended", metric_kind::Gauge, "Starts and recoveries after which an endpoint reached 0.8 of its usual rate." };
const metric_descriptor endpointRampTime { "appleramp_endpoint_ramp_seconds", metric_kind::Gauge, "From these starts and recoveries to 0.8 of the usual rate, in sum." };
const metric_descriptor requestsAwaitingPermit { "appleramp_requests_awaiting_limit", metric_kind::Gauge, "Requests that wait for the limits of endpoints." };
const metric_descriptor storeCalls { "appleramp_store_calls", metric_kind::Gauge, "Calls to the store since the start." };
const metric_descriptor readerAnswers { "appleramp_reader_answers", metric_kind::Gauge, "Reads that the zone's reader answered in place of the store." };
const metric_descriptor storeLossNotice { "appleramp_store_loss_notice_seconds", metric_kind::Summary, "From the last answer of the store that is known to its loss." };
const metric_descriptor storeReturnConfirmation { "appleramp_store_return_confirmation_seconds", metric_kind::Summary, "From the store's return to a renewed confirmation of the configuration." };
const metric_descriptor loadReportAge { "appleramp_load_report_age_seconds", metric_kind::Summary, "Age of the load report of the chosen endpoint." };
const metric_descriptor retriesGranted { "appleramp_retries_granted", metric_kind::Gauge, "Retries that the budgets of their services allowed since the start." };
const metric_descriptor retriesDenied { "appleramp_retries_denied", metric_kind::Gauge, "Requests that were not sent again since the budgets of their services were used up, since the start." };
const metric_descriptor suspects { "appleramp_suspects", metric_kind::Gauge, "Requests and parts of prompts that endpoints may have died of." };
const metric_descriptor convictedSuspects { "appleramp_suspects_convicted", metric_kind::Gauge, "Suspects whose requests are refused." };

void countEnding(metrics_registry& metrics, const forwarding_event& event)
{
    const auto* const ended = std::get_if<attempt_ended>(&event);
    if (ended == nullptr)
        return;
    metrics.add(attemptEndings, { { "ending", nameOf(ended->ending) } });
    if (ended->defect != response_defect::None)
        metrics.add(invalidAnswers, { { "defect", nameOf(ended->defect) } });
}

} // namespace appleramp::entry_metrics
