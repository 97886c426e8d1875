"""The chat front: serves `Chat.Generate` and `Chat.Resume` to clients.

    chat_front        the methods: decodes a request, checks the limits, gives it to the action executor
    chat_call         one client's call: encodes the response, applies back-pressure, notes that a client left
    request_message   the protobuf request as a `DecodedRequest`
    admission_queue   requests that wait for admission, where the settings have admission control

Nothing is routed here: that is the router's, by way of `myrtlehub.node.action_executor`. What is admitted or
shed is decided in `myrtlehub.limits.admission`.
"""
