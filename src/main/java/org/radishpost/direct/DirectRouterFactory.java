package org.radishpost.direct;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.radishpost.admission.ServiceRetryBudget;
import org.radishpost.config.Configuration;
import org.radishpost.events.EventSink;
import org.radishpost.http.CallHandler;
import org.radishpost.http.CallSender;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;
import org.radishpost.placement.ColdTargetLimiter;
import org.radishpost.placement.RouteServiceTimes;
import org.radishpost.placement.TargetDirectory;
import org.radishpost.placement.TargetSelector;
import reactor.core.scheduler.Scheduler;

/** Joins the parts of the straight way; call {@link #create} once a process. */
public final class DirectRouterFactory {
  private DirectRouterFactory() {}

  /**
   * Returns the handler of calls.
   *
   * @param vm the identity of this VM
   * @param localPlace where it runs
   * @param configuration the configuration in force
   * @param directory the targets
   * @param protocol how targets are spoken to
   * @param sender sends calls and questions to targets
   * @param retries this VM's share of the retries
   * @param requestIdField the field that names a request
   * @param clock the clock and timers
   * @param random spreads the times at which callers come back
   * @param events where events go
   */
  public static CallHandler create(
      VmId vm,
      Place localPlace,
      Supplier<Configuration> configuration,
      TargetDirectory directory,
      TargetProtocol protocol,
      CallSender sender,
      ServiceRetryBudget retries,
      String requestIdField,
      Scheduler clock,
      RandomGenerator random,
      EventSink events) {
    RouteServiceTimes serviceTimes = new RouteServiceTimes();
    ColdTargetLimiter coldTargetLimiter = new ColdTargetLimiter(vm.value());
    return new DirectRouter(
        configuration,
        directory,
        new TargetSelector(localPlace, serviceTimes, coldTargetLimiter, random),
        coldTargetLimiter,
        serviceTimes,
        new LoadProber(sender, protocol, clock, events),
        protocol,
        sender,
        retries,
        new CallLog(events, requestIdField),
        clock,
        random);
  }
}
