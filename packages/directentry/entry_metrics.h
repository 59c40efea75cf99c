#pragma once

#include "decisions/forwarding/forwarding_events.h"
#include "observe/metric_descriptor.h"

namespace appleramp {
class metrics_registry;
} // namespace appleramp

namespace appleramp::entry_metrics {

extern const metric_descriptor requests;
extern const metric_descriptor refusals;
extern const metric_descriptor answersDropped;
extern const metric_descriptor connectionsShed;
extern const metric_descriptor heldBytes;
extern const metric_descriptor heldBytesLimit;
extern const metric_descriptor attemptEndings;
extern const metric_descriptor invalidAnswers;
extern const metric_descriptor answerTime;
extern const metric_descriptor configurationAge;
extern const metric_descriptor configurationVersion;
extern const metric_descriptor configurationUnreadable;
extern const metric_descriptor settingsErrors;
extern const metric_descriptor requestsInFlight;
extern const metric_descriptor endpoints;
extern const metric_descriptor linesLeftOut;
extern const metric_descriptor datagramsDropped;
extern const metric_descriptor loopDelay;
extern const metric_descriptor endpointsPaused;
extern const metric_descriptor endpointsLimited;
extern const metric_descriptor endpointsRestricted;
extern const metric_descriptor endpointStarts;
extern const metric_descriptor endpointRampsEnded;
extern const metric_descriptor endpointRampTime;
extern const metric_descriptor requestsAwaitingPermit;
extern const metric_descriptor storeCalls;
extern const metric_descriptor readerAnswers;
extern const metric_descriptor storeLossNotice;
extern const metric_descriptor storeReturnConfirmation;
extern const metric_descriptor loadReportAge;
extern const metric_descriptor retriesGranted;
extern const metric_descriptor retriesDenied;
extern const metric_descriptor suspects;
extern const metric_descriptor convictedSuspects;

// Counts how an attempt ended, if that is what the event tells.
void countEnding(metrics_registry& metrics, const forwarding_event& event);

} // namespace appleramp::entry_metrics
