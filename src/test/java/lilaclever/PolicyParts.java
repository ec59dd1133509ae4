package lilaclever;

import java.util.HashMap;

/** All classes of the decision module, wired to one state, for tests of a class that needs others. */
final class PolicyParts {
    final SlowStart slowStart;
    final RateEstimates rates;
    final TransientFailures transientFailures;
    final CallTimeouts timeouts;
    final ConnectionReuse connections;
    final OutageDetection outages;
    final RecoveryPace recoveryPace;
    final DestinationLimits limits;
    final EndpointAvailability availability;
    final RetrySchedule retries;
    final KeyOrder keyOrder;
    final SendRules rules;
    final EndpointSelection selection;
    final CallDispatch dispatch;
    final Admission admission;

    PolicyParts(PolicyState state) {
        slowStart = new SlowStart(state);
        rates = new RateEstimates(state, slowStart);
        transientFailures = new TransientFailures(state);
        timeouts = new CallTimeouts(state, transientFailures);
        connections = new ConnectionReuse(state);
        outages = new OutageDetection(state, slowStart, transientFailures, timeouts, connections);
        recoveryPace = new RecoveryPace(state, slowStart, rates, transientFailures);
        limits = new DestinationLimits(state, rates, slowStart, outages, recoveryPace);
        availability = new EndpointAvailability(
                state, slowStart, transientFailures, timeouts, connections, recoveryPace, limits);
        retries = new RetrySchedule(state);
        keyOrder = new KeyOrder(state, new HashMap<>());
        rules = new SendRules(state, timeouts, retries, keyOrder, availability);
        selection = new EndpointSelection(state, connections, retries, availability, rules);
        dispatch = new CallDispatch(state, timeouts, connections, retries, rules, selection);
        admission = new Admission(state, rates, recoveryPace, limits, availability);
    }
}
