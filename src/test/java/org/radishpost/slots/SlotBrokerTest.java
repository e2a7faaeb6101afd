package org.radishpost.slots;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.radishpost.config.Configuration;
import org.radishpost.config.Scope;
import org.radishpost.lib.Place;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.ZoneName;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.RouteServiceTimes;
import org.radishpost.placement.Target;
import org.radishpost.placement.TargetDirectory;
import org.radishpost.placement.TargetId;
import org.radishpost.placement.TestTargets;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which slots a broker offers to which calls. */
public class SlotBrokerTest {
  private static final RegionName REGION = new RegionName("k");
  private static final Duration SERVICE_TIME = Duration.ofMillis(100);
  private static final LoadSample IDLE = new LoadSample(0, 0, 2, 100);
  private static final LoadSample SLOW = new LoadSample(0, 0, 2, 400);

  private final FakeVm vm = new FakeVm();
  private final FakeVm otherVm = new FakeVm();
  private long nowNanos;
  private List<ScheduledTask> tasks;
  private TargetDirectory directory;
  private Set<Scope> outOfService;
  private SlotBroker broker;

  /** Creates a broker without targets. */
  @BeforeMethod
  public void create() {
    nowNanos = 0;
    tasks = new ArrayList<>();
    outOfService = Set.of();
    vm.received.clear();
    otherVm.received.clear();
    directory = new TargetDirectory((code, fields) -> {});
    broker =
        new SlotBroker(
            directory,
            () -> new Configuration(1, Map.of(), outOfService),
            new RouteServiceTimes(),
            () -> nowNanos,
            (delayNanos, task) -> tasks.add(new ScheduledTask(nowNanos + delayNanos, task)),
            new SplittableRandom(1));
  }

  private void register(Target... targets) {
    directory.replaceAll(List.of(targets), nowNanos);
  }

  private void advance(Duration time) {
    long end = nowNanos + time.toNanos();
    while (nowNanos < end) {
      nowNanos += TimeUnit.MILLISECONDS.toNanos(1);
      List<ScheduledTask> due = tasks.stream().filter(task -> task.atNanos() <= nowNanos).toList();
      tasks.removeAll(due);
      due.forEach(task -> task.task().run());
    }
  }

  private static SlotMessage.Request request(long id, int respondWithinMillis) {
    return new SlotMessage.Request(
        id,
        REGION,
        new ServiceName("s"),
        "r",
        new ZoneName("k-a"),
        Set.of(),
        Duration.ofMillis(respondWithinMillis),
        Duration.ofMillis(500),
        false,
        Duration.ofSeconds(2));
  }

  private void request(FakeVm from, long id) {
    broker.received(from, request(id, 1_000));
  }

  private void release(FakeVm from, long id, String target, SlotOutcome outcome, LoadSample load) {
    broker.received(
        from,
        new SlotMessage.Release(
            id, new TargetId(target), outcome, SERVICE_TIME, Optional.ofNullable(load)));
  }

  /** Makes the load of a target known to the broker. */
  private void reportLoad(String target, LoadSample load) {
    FakeVm reporter = new FakeVm();
    broker.received(reporter, request(1, 1_000));
    for (String offered : reporter.offeredTargets()) {
      release(reporter, 1, offered, SlotOutcome.UNUSED, offered.equals(target) ? load : null);
    }
  }

  @Test
  public void unknownTargetsAreOfferedTogetherToBeProbed() {
    register(TestTargets.ready("a"), TestTargets.ready("b"));
    request(vm, 7);
    SlotMessage.Offer offer = (SlotMessage.Offer) vm.received.getFirst();
    assertEquals(offer.id(), 7);
    assertEquals(offer.targets().size(), 2);
    assertTrue(offer.targets().stream().allMatch(target -> target.load().isEmpty()));
  }

  @Test
  public void targetWithKnownLoadIsOfferedAlone() {
    register(TestTargets.ready("a"), TestTargets.ready("b"));
    reportLoad("b", IDLE);
    request(vm, 1);
    assertEquals(vm.offeredTargets(), List.of("b"));
  }

  /** On quiet days calls were sent to targets that had become slow since their last report. */
  @Test
  public void olderReportIsProbedAgainWhileMostSlotsAreFree() {
    register(TestTargets.ready("a"), TestTargets.ready("b"));
    reportLoad("b", IDLE);
    nowNanos += TimeUnit.MILLISECONDS.toNanos(50);
    request(vm, 1);
    assertEquals(vm.offeredTargets().size(), 2);
  }

  @Test
  public void olderReportIsUsedWhileTheServiceIsBusy() {
    register(TestTargets.ready("a"), TestTargets.ready("b"));
    request(otherVm, 1);
    reportLoad("a", IDLE);
    nowNanos += TimeUnit.MILLISECONDS.toNanos(50);
    request(vm, 1);
    assertEquals(vm.offeredTargets(), List.of("a"));
  }

  @Test
  public void slowTargetIsNotOfferedToCallThatCanBeInTime() {
    register(TestTargets.ready("slow"), TestTargets.ready("other"));
    reportLoad("slow", SLOW);
    broker.received(vm, request(1, 300));
    assertEquals(vm.offeredTargets(), List.of("other"));
  }

  /** Several VMs sent calls to the same free slot. */
  @Test
  public void eachSlotIsOfferedToOneCall() {
    register(TestTargets.ready("a"));
    request(vm, 1);
    request(otherVm, 1);
    request(vm, 2);
    assertEquals(vm.received.getLast(), new SlotMessage.Queued(2));
    release(otherVm, 1, "a", SlotOutcome.SUCCEEDED, IDLE);
    assertEquals(((SlotMessage.Offer) vm.received.getLast()).id(), 2);
  }

  @Test
  public void callsOfOtherVmsOccupySlots() {
    register(TestTargets.ready("a"));
    reportLoad("a", new LoadSample(2, 1, 2, 100));
    request(vm, 1);
    assertEquals(vm.received, List.of(new SlotMessage.Queued(1)));
  }

  @Test
  public void waitingCallIsRefusedAtTheEndOfItsWait() {
    register(TestTargets.ready("a"));
    reportLoad("a", new LoadSample(2, 0, 2, 100));
    request(vm, 1);
    request(otherVm, 1);
    request(otherVm, 2);
    advance(Duration.ofMillis(390));
    request(vm, 2);
    request(vm, 3);
    advance(Duration.ofMillis(300));
    assertTrue(
        vm.received.contains(new SlotMessage.Refusal(3, SlotRefusalReason.FULL))
            || otherVm.received.contains(new SlotMessage.Refusal(2, SlotRefusalReason.FULL)));
  }

  @Test
  public void requestWithoutWaitDoesNotOvertakeWaitingCalls() {
    register(TestTargets.ready("a"));
    request(otherVm, 1);
    request(otherVm, 2);
    request(otherVm, 3);
    broker.received(
        vm,
        new SlotMessage.Request(
            1,
            REGION,
            new ServiceName("s"),
            "r",
            new ZoneName("k-a"),
            Set.of(),
            Duration.ofSeconds(1),
            Duration.ZERO,
            false,
            Duration.ofSeconds(2)));
    assertEquals(vm.received, List.of(new SlotMessage.Refusal(1, SlotRefusalReason.FULL)));
  }

  /** Calls waited in a region without free slots and were refused, while others had some. */
  @Test
  public void callThatMayRunElsewhereIsRefusedInsteadOfLongWait() {
    register(TestTargets.ready("a"));
    for (long id = 1; id <= 3; id++) {
      request(otherVm, id);
    }
    SlotMessage.Request request = request(1, 1_000);
    broker.received(
        vm,
        new SlotMessage.Request(
            request.id(),
            request.region(),
            request.service(),
            request.route(),
            request.zone(),
            request.excluded(),
            request.respondWithin(),
            request.maxWait(),
            true,
            request.lifetime()));
    assertEquals(vm.received, List.of(new SlotMessage.Refusal(1, SlotRefusalReason.FULL)));
  }

  /** Late calls took slots, so that all following calls were late too. */
  @Test
  public void callThatCanBeInTimeComesBeforeLateCall() {
    register(TestTargets.ready("a"));
    request(vm, 1);
    request(vm, 2);
    broker.received(otherVm, request(1, -50));
    broker.received(otherVm, request(2, 1_000));
    release(vm, 1, "a", SlotOutcome.SUCCEEDED, new LoadSample(1, 0, 2, 100));
    assertEquals(((SlotMessage.Offer) otherVm.received.getLast()).id(), 2);
  }

  @Test
  public void lateCallGetsOnlyAnIdleTarget() {
    register(TestTargets.ready("a"));
    request(vm, 1);
    broker.received(otherVm, request(1, -50));
    assertEquals(otherVm.received, List.of(new SlotMessage.Queued(1)));
    release(vm, 1, "a", SlotOutcome.SUCCEEDED, IDLE);
    assertEquals(otherVm.offeredTargets(), List.of("a"));
  }

  @Test
  public void slotsOfClosedConnectionAreFree() {
    register(TestTargets.ready("a"));
    request(otherVm, 1);
    request(otherVm, 2);
    request(vm, 1);
    broker.closed(otherVm);
    assertEquals(vm.offeredTargets(), List.of("a"));
  }

  @Test
  public void leaseEndsAtTheDeadlineOfItsCall() {
    register(TestTargets.ready("a"));
    request(otherVm, 1);
    request(otherVm, 2);
    nowNanos = Duration.ofSeconds(2).toNanos();
    request(vm, 1);
    broker.tick();
    assertEquals(vm.offeredTargets(), List.of("a"));
  }

  @Test
  public void cancelledRequestIsNotOffered() {
    register(TestTargets.ready("a"));
    request(otherVm, 1);
    request(otherVm, 2);
    request(vm, 1);
    broker.received(vm, new SlotMessage.Cancel(1));
    broker.received(otherVm, new SlotMessage.Cancel(1));
    assertEquals(vm.received, List.of(new SlotMessage.Queued(1)));
  }

  /** The lease of the second offer would replace that of the first, which would never end. */
  @Test
  public void repeatedRequestIsOfferedOnce() {
    register(TestTargets.ready("a"));
    request(vm, 1);
    request(vm, 1);
    assertEquals(vm.received.size(), 1);
    broker.received(vm, new SlotMessage.Cancel(1));
    request(vm, 2);
    request(vm, 3);
    assertEquals(vm.offerCount(), 3);
  }

  @Test
  public void repeatedRequestWaitsOnce() {
    register(TestTargets.ready("a"));
    request(otherVm, 1);
    request(otherVm, 2);
    request(vm, 1);
    request(vm, 1);
    broker.received(otherVm, new SlotMessage.Cancel(1));
    broker.received(otherVm, new SlotMessage.Cancel(2));
    assertEquals(vm.offerCount(), 1);
  }

  /** A slot that is returned twice must not be offered twice. */
  @Test
  public void repeatedReturnHasNoEffect() {
    register(TestTargets.ready("a"));
    request(otherVm, 1);
    request(otherVm, 2);
    release(otherVm, 1, "a", SlotOutcome.UNUSED, null);
    release(otherVm, 1, "a", SlotOutcome.UNUSED, null);
    request(vm, 1);
    request(vm, 2);
    assertEquals(vm.received.getLast(), new SlotMessage.Queued(2));
  }

  @Test
  public void targetsThatMustNotBeUsedAreNotOffered() {
    register(
        TestTargets.draining("draining"),
        TestTargets.cold("cold", Duration.ofSeconds(5)),
        TestTargets.at("elsewhere", Place.of("l", "l-a")));
    request(vm, 1);
    assertEquals(vm.received, List.of(new SlotMessage.Refusal(1, SlotRefusalReason.NO_TARGET)));
  }

  @Test
  public void targetsOfZoneOutOfServiceAreNotOffered() {
    register(TestTargets.ready("a"));
    outOfService = Set.of(new Scope(Scope.Kind.ZONE, "k-a"));
    request(vm, 1);
    assertEquals(vm.received, List.of(new SlotMessage.Refusal(1, SlotRefusalReason.NO_TARGET)));
  }

  @Test
  public void targetThatOneVmCannotReachIsNotOfferedToOthers() {
    register(TestTargets.ready("a"));
    request(otherVm, 1);
    release(otherVm, 1, "a", SlotOutcome.UNREACHABLE, null);
    request(vm, 1);
    assertEquals(vm.received, List.of(new SlotMessage.Refusal(1, SlotRefusalReason.NO_TARGET)));
  }

  @Test
  public void targetThatFailedForOneVmIsNotOfferedToOthers() {
    register(TestTargets.ready("a"), TestTargets.ready("b"));
    request(otherVm, 1);
    release(otherVm, 1, "a", SlotOutcome.FAILED, null);
    request(vm, 1);
    assertEquals(vm.offeredTargets(), List.of("b"));
  }

  /** Most targets of a service lost some answers, and all calls waited for the few others. */
  @Test
  public void failingTargetsAreOfferedIfMostTargetsFail() {
    register(TestTargets.ready("a"), TestTargets.ready("b"), TestTargets.ready("c"));
    request(otherVm, 1);
    release(otherVm, 1, "a", SlotOutcome.FAILED, null);
    release(otherVm, 1, "b", SlotOutcome.FAILED, null);
    release(otherVm, 1, "c", SlotOutcome.UNUSED, null);
    request(vm, 1);
    assertEquals(vm.offeredTargets().size(), 3);
  }

  /** A VM that records the messages it receives. */
  private static final class FakeVm implements SlotLink {
    private final List<SlotMessage> received = new ArrayList<>();

    @Override
    public void send(SlotMessage message) {
      received.add(message);
    }

    private long offerCount() {
      return received.stream().filter(SlotMessage.Offer.class::isInstance).count();
    }

    private List<String> offeredTargets() {
      return received.stream()
          .filter(SlotMessage.Offer.class::isInstance)
          .map(SlotMessage.Offer.class::cast)
          .reduce((first, second) -> second)
          .orElseThrow()
          .targets()
          .stream()
          .map(target -> target.target().value())
          .toList();
    }
  }

  private record ScheduledTask(long atNanos, Runnable task) {}
}
