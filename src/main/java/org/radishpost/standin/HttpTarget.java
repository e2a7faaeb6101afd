package org.radishpost.standin;

import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import org.radishpost.errors.StartException;
import org.radishpost.lib.Endpoint;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.ChannelBindException;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.util.retry.Retry;

/** One target stand-in and its listening socket; thread-safe. */
final class HttpTarget {
  private static final long MAX_BIND_TRIES = 50;
  private static final Duration BIND_PAUSE = Duration.ofMillis(100);
  private static final Duration STOP_LIMIT = Duration.ofSeconds(3);

  private final TargetState state;
  private final Scheduler clock;
  private final TargetHandler handler;
  private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicReference<DisposableServer> server = new AtomicReference<>();
  private final Endpoint listen;
  private volatile Endpoint address;
  private volatile boolean stopped;

  HttpTarget(Endpoint listen, TargetState state, Scheduler clock) {
    this.listen = listen;
    this.address = listen;
    this.state = state;
    this.clock = clock;
    this.handler = new TargetHandler(state, clock, this::control, this::crash);
  }

  void start() throws StartException {
    try {
      DisposableServer bound = binding(listen).bindNow();
      server.set(bound);
      address = new Endpoint(listen.ip(), bound.port());
    } catch (ChannelBindException e) {
      throw new StartException(
          "The address " + listen + " cannot be used: free it or choose another.", e);
    }
  }

  void stop() {
    stopped = true;
    server.get().disposeNow(STOP_LIMIT);
    open.close();
  }

  Endpoint address() {
    return address;
  }

  TargetStats stats() {
    return state.counters().stats(state.slots());
  }

  long runs(String key) {
    return state.counters().runsOf(key);
  }

  void control(TargetControl wanted) {
    state.control(wanted);
    if (wanted.crashNow()) {
      crash(false);
    }
  }

  private void crash(boolean fromCold) {
    state.crash(fromCold);
    server.get().dispose();
    open.close();
    Mono.delay(state.options().restart(), clock)
        .then(Mono.defer(() -> binding(address).bind()))
        .retryWhen(Retry.fixedDelay(MAX_BIND_TRIES, BIND_PAUSE).scheduler(clock))
        .subscribe(this::bound);
  }

  private void bound(DisposableServer again) {
    server.set(again);
    if (stopped) {
      again.dispose();
    }
  }

  private HttpServer binding(Endpoint where) {
    return HttpServer.create()
        .host(where.ip())
        .port(where.port())
        .doOnConnection(this::connected)
        .handle(handler::handle);
  }

  private void connected(Connection connection) {
    if (!open.add(connection.channel())) {
      return;
    }
    TargetCounters counters = state.counters();
    int now = counters.connections.incrementAndGet();
    connection
        .channel()
        .closeFuture()
        .addListener(closed -> counters.connections.decrementAndGet());
    if (now > state.options().connections()) {
      counters.refusedConnections.incrementAndGet();
      connection.channel().close();
      return;
    }
    counters.maxConnections.accumulateAndGet(now, Math::max);
  }
}
