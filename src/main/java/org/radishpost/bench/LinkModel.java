package org.radishpost.bench;

import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;
import org.radishpost.link.LinkMessage;
import org.radishpost.link.LinkOptions;
import org.radishpost.link.LinkSession;
import org.radishpost.link.PeerEvent;
import org.radishpost.link.PeerTraffic;
import org.radishpost.link.TcpLinks;
import org.radishpost.store.VmEntry;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Measures the processor time and traffic of links between VMs that run in this process and connect
 * over loopback.
 *
 * <p>Run {@link #main} with the number of VMs and the seconds of each measurement. Byte counts
 * cover the frames, without TCP and IP headers.
 */
public final class LinkModel {
  private static final int REQUESTS = 200_000;
  private static final int CONCURRENT_REQUESTS = 64;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
  private static final byte[] LINK_KEY = "key of the measurement".getBytes(StandardCharsets.UTF_8);

  private final List<TcpLinks> allLinks = new ArrayList<>();
  private final List<VmEntry> entries = new ArrayList<>();
  private final LongAdder linksLost = new LongAdder();
  private final Scheduler clock = Schedulers.immediate();

  /**
   * Prints the measurements.
   *
   * @param args the number of VMs, 16 by default, and the seconds of each measurement, 10 by
   *     default
   */
  public static void main(String[] args) {
    int vmCount = args.length > 0 ? Integer.parseInt(args[0]) : 16;
    int seconds = args.length > 1 ? Integer.parseInt(args[1]) : 10;
    new LinkModel().run(vmCount, seconds);
    System.exit(0);
  }

  private void run(int vmCount, int seconds) {
    IntStream.range(0, vmCount).forEach(this::start);
    Set<VmEntry> allEntries = entries.stream().collect(Collectors.toSet());
    allLinks.forEach(vmLinks -> vmLinks.setPersistentPeers(allEntries));
    sleep(Duration.ofSeconds(5));
    measureTraffic("idle links after 5 s", seconds, false);
    measureTraffic("idle links", seconds, false);
    measureTraffic("busy links", seconds, true);
    measureRequests();
  }

  private void start(int vmIndex) {
    Scheduler scheduler = Schedulers.newSingle("control-" + vmIndex, true);
    Endpoint anyPort = new Endpoint("127.0.0.1", 0);
    VmEntry self =
        new VmEntry(new VmId("vm-" + vmIndex), Place.of("region", "zone"), anyPort, anyPort, false);
    TcpLinks vmLinks =
        new TcpLinks(
            self,
            LINK_KEY,
            LinkOptions.DEFAULT,
            scheduler,
            (code, fields) -> {},
            new SecureRandom(),
            () -> 1);
    vmLinks
        .events()
        .filter(event -> event instanceof PeerEvent.Down)
        .subscribe(event -> linksLost.increment());
    vmLinks.setRequestHandler((peer, message) -> Mono.just(message));
    entries.add(vmLinks.start().block());
    allLinks.add(vmLinks);
  }

  private void measureTraffic(String name, int seconds, boolean busy) {
    linksLost.reset();
    long bytesBefore = totalBytesSent();
    long cpuNanosBefore = cpuNanos();
    long startNanos = clock.now(TimeUnit.NANOSECONDS);
    for (int second = 0; second < seconds; second++) {
      if (busy) {
        useAllSessions();
      }
      sleep(Duration.ofSeconds(1));
    }
    double elapsedNanos = clock.now(TimeUnit.NANOSECONDS) - startNanos;
    double cpuShare = (cpuNanos() - cpuNanosBefore) / elapsedNanos / allLinks.size();
    double bytesPerSecond =
        (totalBytesSent() - bytesBefore)
            / (elapsedNanos / Duration.ofSeconds(1).toNanos())
            / allLinks.size();
    System.out.printf(
        Locale.ROOT,
        "%s: %d VMs, each %.2f %% of a core, %.0f bytes/s out; %d links lost in total%n",
        name,
        allLinks.size(),
        100 * cpuShare,
        bytesPerSecond,
        linksLost.sum());
  }

  /** Takes a sequence number in every session, because that marks the link as recently used. */
  private void useAllSessions() {
    for (TcpLinks vmLinks : allLinks) {
      entries.forEach(peer -> vmLinks.session(peer.id()).ifPresent(LinkSession::nextSequence));
    }
  }

  private void measureRequests() {
    LinkMessage message = new LinkMessage.TargetAccepted(1);
    VmId peer = entries.getLast().id();
    for (int pass = 0; pass < 3; pass++) {
      long cpuNanosBefore = cpuNanos();
      long startNanos = clock.now(TimeUnit.NANOSECONDS);
      long responseCount =
          Flux.range(0, REQUESTS)
              .flatMap(
                  i -> allLinks.getFirst().request(peer, message, REQUEST_TIMEOUT),
                  CONCURRENT_REQUESTS)
              .count()
              .block();
      double elapsedNanos = clock.now(TimeUnit.NANOSECONDS) - startNanos;
      System.out.printf(
          Locale.ROOT,
          "requests, %d concurrent, pass %d: %.0f per second, %.1f us processor time each (%d"
              + " responses)%n",
          CONCURRENT_REQUESTS,
          pass,
          REQUESTS / (elapsedNanos / Duration.ofSeconds(1).toNanos()),
          (cpuNanos() - cpuNanosBefore) / 1000.0 / REQUESTS,
          responseCount);
    }
  }

  private long totalBytesSent() {
    return allLinks.stream()
        .flatMap(vmLinks -> vmLinks.traffic().stream())
        .mapToLong(PeerTraffic::bytesOut)
        .sum();
  }

  private static long cpuNanos() {
    return ManagementFactory.getPlatformMXBean(com.sun.management.OperatingSystemMXBean.class)
        .getProcessCpuTime();
  }

  private static void sleep(Duration duration) {
    Mono.delay(duration).block();
  }
}
