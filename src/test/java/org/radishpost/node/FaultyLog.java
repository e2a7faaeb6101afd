package org.radishpost.node;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.radishpost.errors.AppendUnknownException;
import org.radishpost.errors.LogUnavailableException;
import org.radishpost.standin.MemoryLog;
import org.radishpost.store.LogPage;
import org.radishpost.store.LogRecord;
import org.radishpost.store.PlatformLog;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/** A log with random faults: appends are lost or delayed, responses are lost, and reads fail. */
final class FaultyLog implements PlatformLog {
  private final MemoryLog memory;
  private final Scheduler time;
  private final RandomGenerator random;
  private boolean down;
  private boolean faulty = true;

  FaultyLog(MemoryLog memory, Scheduler time, RandomGenerator random) {
    this.memory = memory;
    this.time = time;
    this.random = random;
  }

  void setDown(boolean isDown) {
    down = isDown;
  }

  void clearFaults() {
    down = false;
    faulty = false;
  }

  @Override
  public Mono<LogRecord> append(String stream, byte[] payload) {
    return Mono.defer(() -> down ? Mono.error(unavailable()) : send(stream, payload));
  }

  @Override
  public Mono<LogPage> read(String stream, long fromOffset, int maxRecords, Duration wait) {
    return Mono.defer(
        () -> {
          if (down || withProbability(0.03)) {
            return Mono.error(unavailable());
          }
          Mono<LogPage> page = memory.read(stream, fromOffset, maxRecords, wait);
          return randomDelay().then(page).delayUntil(unused -> randomDelay());
        });
  }

  private Mono<LogRecord> send(String stream, byte[] payload) {
    Sinks.One<LogRecord> appended = Sinks.one();
    boolean lost = withProbability(0.05);
    boolean late = withProbability(0.05);
    boolean responseLost = withProbability(0.1);
    long delay = late ? random.nextLong(20_000) : random.nextLong(30);
    if (!lost) {
      time.schedule(
          () -> memory.append(stream, payload).subscribe(appended::tryEmitValue),
          delay,
          TimeUnit.MILLISECONDS);
    }
    if (lost || late || responseLost) {
      return randomDelay()
          .then(Mono.error(new AppendUnknownException("The append may be lost: read the stream.")));
    }
    return appended.asMono().delayUntil(unused -> randomDelay());
  }

  private Mono<Long> randomDelay() {
    return Mono.delay(Duration.ofMillis(faulty ? random.nextLong(60) : 1), time);
  }

  private boolean withProbability(double probability) {
    return faulty && random.nextDouble() < probability;
  }

  private static LogUnavailableException unavailable() {
    return new LogUnavailableException("The log is down: try again.");
  }
}
