package org.radishpost.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/** Records what comes first on a channel: the end of the body or an error. */
final class EndRecorder extends ChannelInboundHandlerAdapter {
  private String end = "none";

  /** Returns {@code complete}, {@code error}, or {@code none} if neither has come. */
  String end() {
    return end;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof LastHttpContent) {
      record("complete");
    }
    ReferenceCountUtil.release(message);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    record("error");
  }

  private void record(String what) {
    if (end.equals("none")) {
      end = what;
    }
  }
}
