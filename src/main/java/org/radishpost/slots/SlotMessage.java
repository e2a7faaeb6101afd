package org.radishpost.slots;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.ZoneName;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.TargetId;

/**
 * A message between a VM and a broker. Request IDs are chosen by the VM and unique on its
 * connection.
 */
public sealed interface SlotMessage {
  /** The first message of a VM: the connection is used only to request slots. */
  record Open() implements SlotMessage {}

  /**
   * Requests a slot for a call.
   *
   * @param id the ID of the request
   * @param region the region of the targets
   * @param service the service that handles the call
   * @param route the route of the call, whose calls have similar service times
   * @param zone the zone of the VM; targets in it are preferred
   * @param excluded the targets that must not be offered
   * @param respondWithin the remaining time in which a response is in time; may be negative
   * @param maxWait how long to wait for a free slot; zero for an immediate reply
   * @param hasAlternative whether the call may run in another region, so that the VM prefers an
   *     immediate refusal to a long wait
   * @param lifetime the remaining time until the deadline of the call, after which the lease ends
   */
  record Request(
      long id,
      RegionName region,
      ServiceName service,
      String route,
      ZoneName zone,
      Set<TargetId> excluded,
      Duration respondWithin,
      Duration maxWait,
      boolean hasAlternative,
      Duration lifetime)
      implements SlotMessage {
    /** Creates a message with an immutable copy of the set. */
    public Request {
      excluded = Set.copyOf(excluded);
    }
  }

  /**
   * Withdraws a request or returns all slots offered for it.
   *
   * @param id the ID of the request
   */
  record Cancel(long id) implements SlotMessage {}

  /**
   * Returns an offered slot.
   *
   * @param id the ID of the request
   * @param target the target
   * @param outcome how the slot was used
   * @param serviceTime the time from sending the call until its response
   * @param load the load that the target reported with the response
   */
  record Release(
      long id,
      TargetId target,
      SlotOutcome outcome,
      Duration serviceTime,
      Optional<LoadSample> load)
      implements SlotMessage {}

  /**
   * Acknowledges a request that has to wait.
   *
   * @param id the ID of the request
   */
  record Queued(long id) implements SlotMessage {}

  /**
   * Offers a slot of each of the targets. The VM uses one of them and returns the others.
   *
   * @param id the ID of the request
   * @param targets the targets, the best first; never empty
   */
  record Offer(long id, List<OfferedTarget> targets) implements SlotMessage {
    /** Creates a message with an immutable copy of the list. */
    public Offer {
      targets = List.copyOf(targets);
    }
  }

  /**
   * Ends a request without an offer.
   *
   * @param id the ID of the request
   * @param reason why no slot is offered
   */
  record Refusal(long id, SlotRefusalReason reason) implements SlotMessage {}

  /**
   * A target with a slot for the call.
   *
   * @param target the target
   * @param load the load that it reported last, with the slots that were offered since; empty if it
   *     is too old, so that the target should be probed before it is used
   */
  record OfferedTarget(TargetId target, Optional<LoadSample> load) {}
}
