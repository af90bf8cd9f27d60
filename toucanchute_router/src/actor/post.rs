use futures_util::FutureExt;
use xtra::prelude::*;

/// Puts a message into an actor's unbounded mailbox without waiting until it is handled.
///
/// Messages from one sender are handled in the order in which they were posted. A message to an
/// actor that has stopped is dropped.
pub(crate) fn post<A, M>(address: &Address<A>, message: M)
where
    A: Handler<M>,
    M: Send + 'static,
{
    let _ = address.send(message).detach().now_or_never();
}
