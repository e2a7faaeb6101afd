package org.radishpost.direct;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.radishpost.admission.ServiceBudget;
import org.radishpost.config.Configuration;
import org.radishpost.http.ByteBudget;
import org.radishpost.http.Call;
import org.radishpost.http.CallBody;
import org.radishpost.http.CallHandler;
import org.radishpost.http.CallSender;
import org.radishpost.http.RequestHead;
import org.radishpost.http.Response;
import org.radishpost.http.ResponseBuffering;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.Verdict;
import org.radishpost.lib.VmId;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.Target;
import org.radishpost.placement.TargetDirectory;
import org.radishpost.placement.TargetId;
import org.radishpost.placement.TestTargets;
import org.radishpost.suspects.CrashHistory;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Many entries that send the calls of one service to the same simulated targets. */
final class SimulatedFleet {
  private static final Duration TARGET_LATENCY = Duration.ofMillis(300);
  private static final Duration TIMEOUT = Duration.ofMillis(2_500);
  private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(5);
  private static final int MAX_CALLER_RETRIES = 2;
  private static final double MEAN_WORK_MILLIS = 120;
  private static final double WORK_SPREAD = 0.3;
  private static final Duration TICK_INTERVAL = Duration.ofMillis(250);
  private static final double RETRY_RATIO = 0.15;
  private static final double RETRY_CAPACITY = 1.5;
  private static final List<Place> PLACES =
      List.of(
          Place.of("k", "k-a"),
          Place.of("l", "l-a"),
          Place.of("n", "n-a"),
          Place.of("k", "k-b"),
          Place.of("l", "l-b"),
          Place.of("n", "n-b"));

  private final VirtualTimeScheduler clock = VirtualTimeScheduler.create();
  private final SplittableRandom random;
  private final Map<String, SimulatedTarget> targetsByAddress = new HashMap<>();
  private final List<CallHandler> entries = new ArrayList<>();
  private final Set<RegionName> homes;
  private final SimulatedRelays relays;
  private int offered;
  private int inTime;
  private int refused;

  /**
   * Creates entries and targets that are spread over the zones.
   *
   * @param entryCount the number of entries, in three regions
   * @param targetCount the number of targets, in the home regions
   * @param homes the regions that have targets and in which the calls may run
   * @param probeMillis how long a probe occupies a slot of a target
   * @param relayCount the number of relays, each in another region
   * @param seed the seed of all random choices
   */
  SimulatedFleet(
      int entryCount,
      int targetCount,
      Set<RegionName> homes,
      double probeMillis,
      int relayCount,
      long seed) {
    this.random = new SplittableRandom(seed);
    this.homes = homes;
    List<Place> targetPlaces =
        PLACES.stream().filter(place -> homes.contains(place.region())).toList();
    List<Target> registered = new ArrayList<>();
    for (int i = 0; i < targetCount; i++) {
      Target target = TestTargets.at("t-" + i, targetPlaces.get(i % targetPlaces.size()));
      registered.add(target);
      targetsByAddress.put(
          target.address().toString(),
          new SimulatedTarget(target, probeMillis, clock, random.split()));
    }
    relays = new SimulatedRelays(PLACES.subList(0, relayCount), registered, clock, random.split());
    for (int i = 0; i < entryCount; i++) {
      entries.add(entry("e-" + i, PLACES.get(i % PLACES.size()), registered));
    }
  }

  private CallHandler entry(String name, Place place, List<Target> registered) {
    TargetDirectory directory = new TargetDirectory((code, fields) -> {});
    directory.replaceAll(registered, clock.now(TimeUnit.NANOSECONDS));
    CrashHistory crashes = new CrashHistory(() -> clock.now(TimeUnit.NANOSECONDS));
    SlotClient brokers =
        new SlotClient(
            place.zone(),
            relays.dialer(place),
            clock,
            random.split(),
            (code, fields) -> {},
            crashes);
    brokers.setRelays(relays.addresses());
    clock.schedulePeriodically(brokers::tick, 0, TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    return DirectRouterFactory.create(
        new VmId(name),
        place,
        () -> new Configuration(1, Map.of(), Set.of()),
        directory,
        brokers,
        new Protocol(),
        new Sender(place),
        new ResponseBuffering(new ByteBudget(1_000_000)),
        new ServiceBudget(() -> RETRY_RATIO, RETRY_CAPACITY),
        crashes,
        "id",
        clock,
        random.split(),
        Mono.never(),
        (code, fields) -> {});
  }

  /** Offers calls at random times, and advances the clock until all of them have ended. */
  void offer(int callsPerSecond, Duration duration) {
    long periodMicros = TimeUnit.SECONDS.toMicros(1) / callsPerSecond;
    long calls = duration.toSeconds() * callsPerSecond;
    for (long i = 0; i < calls; i++) {
      long atMicros = i * periodMicros + random.nextLong(periodMicros);
      clock.schedule(this::startCall, atMicros, TimeUnit.MICROSECONDS);
    }
    clock.advanceTimeBy(duration.plus(CALLER_TIMEOUT));
  }

  /** Makes some relays silent after the given time. */
  void silenceRelaysAfter(Duration delay, int count) {
    clock.schedule(() -> relays.silence(count), delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void startCall() {
    offered++;
    sendCall(clock.now(TimeUnit.MILLISECONDS), MAX_CALLER_RETRIES);
  }

  private void sendCall(long startMillis, int retriesLeft) {
    Duration elapsed = Duration.ofMillis(clock.now(TimeUnit.MILLISECONDS) - startMillis);
    Duration timeLeft = CALLER_TIMEOUT.minus(elapsed);
    Duration timeout = timeLeft.compareTo(TIMEOUT) < 0 ? timeLeft : TIMEOUT;
    Call call = TestCalls.create(false, homes, TARGET_LATENCY, timeout, clock);
    entries
        .get(random.nextInt(entries.size()))
        .handle(call)
        .subscribe(response -> receiveResponse(response, startMillis, retriesLeft));
  }

  /**
   * Callers retry a call that has not run after the time that the entry names, but wait no longer
   * than a third of the time that they have left.
   */
  private void receiveResponse(Response response, long startMillis, int retriesLeft) {
    boolean notRun = response.refusalVerdict().filter(Verdict.NOT_RUN::equals).isPresent();
    if (!notRun || retriesLeft == 0) {
      recordResponse(response, startMillis);
      return;
    }
    double seconds = Double.parseDouble(response.headers().get("retry-after"));
    double secondsLeft =
        CALLER_TIMEOUT.toSeconds() - (clock.now(TimeUnit.MILLISECONDS) - startMillis) / 1000.0;
    double pauseSeconds = Math.min(seconds, secondsLeft / 3);
    long pauseMicros = (long) (pauseSeconds * TimeUnit.SECONDS.toMicros(1));
    clock.schedule(
        () -> sendCall(startMillis, retriesLeft - 1), pauseMicros, TimeUnit.MICROSECONDS);
  }

  private void recordResponse(Response response, long startMillis) {
    boolean success = response.refusalVerdict().isEmpty();
    refused += success ? 0 : 1;
    if (success && clock.now(TimeUnit.MILLISECONDS) - startMillis <= TARGET_LATENCY.toMillis()) {
      inTime++;
    }
  }

  /** Returns the number of calls per second that all targets together could serve. */
  double capacity() {
    return targetsByAddress.values().stream()
        .mapToDouble(target -> target.capacity(MEAN_WORK_MILLIS))
        .sum();
  }

  /** Returns the share of the calls that succeeded within their target latency. */
  double inTimeShare() {
    return (double) inTime / offered;
  }

  /** Returns the number of probes for each call. */
  double probesPerCall() {
    return (double) probeCount() / offered;
  }

  /** Returns the results of the run for the message of a failed check. */
  String describe() {
    return "in time %.3f, refused %.3f, %.1f probes a call"
        .formatted(inTimeShare(), (double) refused / offered, probesPerCall());
  }

  private int probeCount() {
    return targetsByAddress.values().stream().mapToInt(SimulatedTarget::probeCount).sum();
  }

  private double workMillis() {
    double factor = 1 + WORK_SPREAD * random.nextGaussian();
    return MEAN_WORK_MILLIS * Math.clamp(factor, 0.2, 3);
  }

  /** Sends calls and probes to the simulated targets, with the delay of the network. */
  private final class Sender implements CallSender {
    private final Place place;

    private Sender(Place place) {
      this.place = place;
    }

    @Override
    public Mono<Response> send(Endpoint address, RequestHead head, CallBody body, Duration limit) {
      SimulatedTarget target = targetsByAddress.get(address.toString());
      boolean sameRegion = target.target().place().region().equals(place.region());
      Mono<Response> response =
          head.target().equals(Protocol.PROBE_PATH) ? target.probe() : target.call(workMillis());
      return Mono.delay(SimulatedTarget.roundTrip(sameRegion), clock)
          .then(response)
          .timeout(limit, clock);
    }

    @Override
    public void closeIdle(Endpoint address) {}

    @Override
    public Flux<Endpoint> closedAddresses() {
      return Flux.never();
    }
  }

  /** The headers of the simulated targets. */
  private static final class Protocol implements TargetProtocol {
    private static final String PROBE_PATH = "/status";

    @Override
    public RequestHead callHead(RequestHead head, TargetId target, long remainingMillis) {
      return head;
    }

    @Override
    public RequestHead probeHead(ServiceName service) {
      return RequestHead.get(PROBE_PATH);
    }

    @Override
    public TargetResponseInfo parse(Response response) {
      return new TargetResponseInfo(
          response.headers().contains("not-run"),
          response.headers().contains("proof"),
          Optional.empty(),
          Optional.ofNullable(response.headers().get("load")).map(Protocol::parseLoad),
          Optional.empty());
    }

    private static LoadSample parseLoad(String text) {
      String[] values = text.split(",");
      return new LoadSample(
          Integer.parseInt(values[0]),
          Integer.parseInt(values[1]),
          Integer.parseInt(values[2]),
          Integer.parseInt(values[3]));
    }
  }
}
