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

/** One target stand-in with its own HTTP server. Thread-safe. */
final class HttpTarget {
  private static final long MAX_BIND_ATTEMPTS = 50;
  private static final Duration BIND_RETRY_INTERVAL = Duration.ofMillis(100);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(3);

  private final TargetState state;
  private final Scheduler clock;
  private final TargetHandler handler;
  private final ChannelGroup openChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicReference<DisposableServer> server = new AtomicReference<>();
  private final Endpoint listenAddress;
  private volatile Endpoint address;
  private volatile boolean stopped;

  HttpTarget(Endpoint listenAddress, TargetState state, Scheduler clock) {
    this.listenAddress = listenAddress;
    this.address = listenAddress;
    this.state = state;
    this.clock = clock;
    this.handler = new TargetHandler(state, clock, this::setControl, this::crash);
  }

  void start() throws StartException {
    try {
      DisposableServer boundServer = createServer(listenAddress).bindNow();
      server.set(boundServer);
      address = new Endpoint(listenAddress.ip(), boundServer.port());
    } catch (ChannelBindException e) {
      throw new StartException(
          "Cannot listen on the address " + listenAddress + ": free it or choose another.", e);
    }
  }

  void stop() {
    stopped = true;
    server.get().disposeNow(STOP_TIMEOUT);
    openChannels.close();
  }

  Endpoint address() {
    return address;
  }

  TargetStats stats() {
    return state.counters().stats(state.slots());
  }

  long runCount(String key) {
    return state.counters().runCount(key);
  }

  void setControl(TargetControl newControl) {
    state.setControl(newControl);
    if (newControl.crashNow()) {
      crash(false);
    }
  }

  private void crash(boolean coldOverload) {
    state.crash(coldOverload);
    server.get().dispose();
    openChannels.close();
    Mono.delay(state.options().restartDelay(), clock)
        .then(Mono.defer(() -> createServer(address).bind()))
        .retryWhen(Retry.fixedDelay(MAX_BIND_ATTEMPTS, BIND_RETRY_INTERVAL).scheduler(clock))
        .subscribe(this::onRestarted);
  }

  private void onRestarted(DisposableServer restartedServer) {
    server.set(restartedServer);
    if (stopped) {
      restartedServer.dispose();
    }
  }

  private HttpServer createServer(Endpoint bindAddress) {
    return HttpServer.create()
        .host(bindAddress.ip())
        .port(bindAddress.port())
        .doOnConnection(this::onConnection)
        .handle(handler::handle);
  }

  private void onConnection(Connection connection) {
    if (!openChannels.add(connection.channel())) {
      return;
    }
    TargetCounters counters = state.counters();
    int connectionCount = counters.connections.incrementAndGet();
    connection
        .channel()
        .closeFuture()
        .addListener(closeFuture -> counters.connections.decrementAndGet());
    if (connectionCount > state.options().maxConnections()) {
      counters.refusedConnections.incrementAndGet();
      connection.channel().close();
      return;
    }
    counters.maxConnections.accumulateAndGet(connectionCount, Math::max);
  }
}
