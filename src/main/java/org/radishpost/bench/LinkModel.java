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
 * Measures what links between VMs of one process cost over loopback.
 *
 * <p>Run its {@link #main}; the arguments are the number of VMs and the seconds of each part. Bytes
 * are those of frames, without TCP and IP.
 */
public final class LinkModel {
  private static final int ASKS = 200_000;
  private static final int ASKS_AT_ONCE = 64;
  private static final Duration ASK_LIMIT = Duration.ofSeconds(10);
  private static final byte[] KEY = "key of the measurement".getBytes(StandardCharsets.UTF_8);

  private final List<TcpLinks> links = new ArrayList<>();
  private final List<VmEntry> entries = new ArrayList<>();
  private final LongAdder downs = new LongAdder();
  private final Scheduler clock = Schedulers.immediate();

  /** Prints the costs. */
  public static void main(String[] args) {
    int vms = args.length > 0 ? Integer.parseInt(args[0]) : 16;
    int seconds = args.length > 1 ? Integer.parseInt(args[1]) : 10;
    new LinkModel().run(vms, seconds);
    System.exit(0);
  }

  private void run(int vms, int seconds) {
    IntStream.range(0, vms).forEach(this::start);
    Set<VmEntry> all = entries.stream().collect(Collectors.toSet());
    links.forEach(link -> link.setPersistentPeers(all));
    pause(Duration.ofSeconds(5));
    report("idle links after 5 s", seconds, false);
    report("idle links", seconds, false);
    report("busy links", seconds, true);
    ask();
  }

  private void start(int number) {
    Scheduler scheduler = Schedulers.newSingle("control-" + number, true);
    Endpoint any = new Endpoint("127.0.0.1", 0);
    VmEntry self =
        new VmEntry(new VmId("vm-" + number), Place.of("region", "zone"), any, any, false);
    TcpLinks own =
        new TcpLinks(
            self,
            KEY,
            LinkOptions.DEFAULT,
            scheduler,
            (code, fields) -> {},
            new SecureRandom(),
            () -> 1);
    own.events()
        .filter(event -> event instanceof PeerEvent.Down)
        .subscribe(event -> downs.increment());
    own.setRequestHandler((peer, message) -> Mono.just(message));
    entries.add(own.start().block());
    links.add(own);
  }

  private void report(String name, int seconds, boolean busy) {
    downs.reset();
    long bytes = bytesOut();
    long cpu = cpuNanos();
    long start = clock.now(TimeUnit.NANOSECONDS);
    for (int second = 0; second < seconds; second++) {
      if (busy) {
        useAll();
      }
      pause(Duration.ofSeconds(1));
    }
    double wall = clock.now(TimeUnit.NANOSECONDS) - start;
    double share = (cpuNanos() - cpu) / wall / links.size();
    double rate = (bytesOut() - bytes) / (wall / Duration.ofSeconds(1).toNanos()) / links.size();
    System.out.printf(
        Locale.ROOT,
        "%s: %d VMs, each %.2f %% of a core, %.0f bytes/s out; %d downs in all%n",
        name,
        links.size(),
        100 * share,
        rate,
        downs.sum());
  }

  private void useAll() {
    for (TcpLinks own : links) {
      entries.forEach(peer -> own.session(peer.id()).ifPresent(LinkSession::nextSequence));
    }
  }

  private void ask() {
    LinkMessage message = new LinkMessage.TargetAccepted(1);
    VmId peer = entries.getLast().id();
    for (int pass = 0; pass < 3; pass++) {
      long cpu = cpuNanos();
      long start = clock.now(TimeUnit.NANOSECONDS);
      long answered =
          Flux.range(0, ASKS)
              .flatMap(i -> links.getFirst().request(peer, message, ASK_LIMIT), ASKS_AT_ONCE)
              .count()
              .block();
      double wall = clock.now(TimeUnit.NANOSECONDS) - start;
      System.out.printf(
          Locale.ROOT,
          "asks, %d at once, pass %d: %.0f a second, %.1f us processor time each (%d answered)%n",
          ASKS_AT_ONCE,
          pass,
          ASKS / (wall / Duration.ofSeconds(1).toNanos()),
          (cpuNanos() - cpu) / 1000.0 / ASKS,
          answered);
    }
  }

  private long bytesOut() {
    return links.stream()
        .flatMap(own -> own.traffic().stream())
        .mapToLong(PeerTraffic::bytesOut)
        .sum();
  }

  private static long cpuNanos() {
    return ManagementFactory.getPlatformMXBean(com.sun.management.OperatingSystemMXBean.class)
        .getProcessCpuTime();
  }

  private static void pause(Duration duration) {
    Mono.delay(duration).block();
  }
}
