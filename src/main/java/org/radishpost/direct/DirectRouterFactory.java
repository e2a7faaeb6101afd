package org.radishpost.direct;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.radishpost.admission.ServiceBudget;
import org.radishpost.config.Configuration;
import org.radishpost.events.EventSink;
import org.radishpost.http.CallHandler;
import org.radishpost.http.CallSender;
import org.radishpost.http.ResponseBuffering;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;
import org.radishpost.placement.ColdTargetLimiter;
import org.radishpost.placement.RouteServiceTimes;
import org.radishpost.placement.TargetDirectory;
import org.radishpost.placement.TargetSelector;
import org.radishpost.placement.TrafficSplitter;
import org.radishpost.suspects.CrashHistory;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Creates the router that sends calls directly to targets; call it once per process. */
public final class DirectRouterFactory {
  private static final double PROBES_PER_CALL = 2;

  /** Lets a held call look for a free target for some time while there are few other calls. */
  private static final double PROBE_BUDGET_CAPACITY = 12;

  private DirectRouterFactory() {}

  /**
   * Creates the router together with its components.
   *
   * @param vm the ID of this VM
   * @param localPlace the place of this VM
   * @param configuration supplies the current configuration
   * @param directory the registered targets
   * @param brokers requests slots from the brokers on the relays
   * @param protocol builds requests for targets and parses their responses
   * @param sender sends calls and load probes
   * @param buffering keeps small responses in memory until they are complete
   * @param retryBudget the retry budget of this VM
   * @param crashes the crashes of targets that all VMs have observed
   * @param requestIdField the name of the header field with the request ID
   * @param clock provides time and timers
   * @param random the source of jitter and random choices
   * @param stopSending completes when no further call may be sent; calls that wait are refused then
   * @param events receives the events
   */
  public static CallHandler create(
      VmId vm,
      Place localPlace,
      Supplier<Configuration> configuration,
      TargetDirectory directory,
      SlotClient brokers,
      TargetProtocol protocol,
      CallSender sender,
      ResponseBuffering buffering,
      ServiceBudget retryBudget,
      CrashHistory crashes,
      String requestIdField,
      Scheduler clock,
      RandomGenerator random,
      Mono<Void> stopSending,
      EventSink events) {
    RouteServiceTimes serviceTimes = new RouteServiceTimes();
    ColdTargetLimiter coldTargetLimiter = new ColdTargetLimiter(vm.value());
    CallCandidates candidates = new CallCandidates(directory, configuration);
    TargetSelector selector =
        new TargetSelector(localPlace, serviceTimes, coldTargetLimiter, random);
    LoadProber prober =
        new LoadProber(
            sender,
            protocol,
            clock,
            new ServiceBudget(() -> PROBES_PER_CALL, PROBE_BUDGET_CAPACITY),
            events);
    CrashDetector crashDetector =
        new CrashDetector(new LivenessCheck(sender, protocol, clock), crashes, clock, events);
    TargetChooser probing = new ProbingTargetChooser(candidates, selector, prober, clock, random);
    TargetChooser chooser =
        new SlotTargetChooser(
            localPlace, candidates, brokers, selector, prober, probing, clock, random);
    CrashGuard crashGuard = new CrashGuard(crashes, crashDetector, requestIdField);
    CallLog log = new CallLog(events, requestIdField);
    return new DirectRouter(
        candidates,
        new TrafficSplitter(random),
        chooser,
        new AttemptSender(coldTargetLimiter, protocol, sender, buffering, crashGuard, clock),
        new AttemptEvaluator(protocol, serviceTimes, crashGuard, clock),
        new CallHedger(chooser, selector, retryBudget, crashGuard, log, clock),
        retryBudget,
        crashGuard,
        new FinalResponses(selector, log, clock, random),
        log,
        clock,
        stopSending);
  }
}
