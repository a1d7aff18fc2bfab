// Package design describes the HTTP API of an entry VM. The code in package gen is generated from it.
package design

import (
	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 the design language is meant to be dot-imported
)

var _ = API("mangopass", func() {
	Title("mangopass")
	Description("Serving of rarely used models: callers' and operators' endpoints of an entry VM.")
})

var _ = Service("calls", func() {
	Description("The callers' endpoints. Bodies pass through unread except for the fields that routing needs, so that " +
		"fields unknown here reach the engine. Refusals use the OpenAI error envelope.")

	Method("chat", func() {
		Description("OpenAI-style chat completion. The body's model names a route. With stream set, the answer is a " +
			"sequence of server-sent events that ends with data: [DONE].")
		Payload(callPayload)
		Result(callResult)
		HTTP(func() {
			POST("/v1/chat/completions")
			callHeaders()
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() { Header("content_type:Content-Type") })
		})
	})

	Method("invoke", func() {
		Description("A call to a plain service. The route decides whether the call may be repeated.")
		Payload(func() {
			Extend(callPayload)
			Attribute("route", String, "Name of the route")
			Attribute("path", String, "Path at the plain service")
			Required("route", "path")
		})
		Result(callResult)
		HTTP(func() {
			POST("/v1/services/{route}/{*path}")
			GET("/v1/services/{route}/{*path}")
			callHeaders()
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() { Header("content_type:Content-Type") })
		})
	})

	Method("models", func() {
		Description("Lists the routes that the caller's organisation may use, as OpenAI model objects.")
		Result(modelList)
		HTTP(func() {
			GET("/v1/models")
			Response(StatusOK)
		})
	})
})

var callPayload = Type("CallPayload", func() {
	Attribute("idempotency_key", String, "Names the call across repeats; required on routes that are not idempotent",
		func() { MaxLength(200) })
	Attribute("deadline_ms", Int, "Shortens the route's deadline, in milliseconds", func() { Minimum(1) })
})

func callHeaders() {
	Header("idempotency_key:Idempotency-Key")
	Header("deadline_ms:X-Mangopass-Deadline-Ms")
}

var callResult = Type("CallResult", func() {
	Attribute("content_type", String, "Content type of the answer")
	Required("content_type")
})

var modelList = Type("ModelList", func() {
	Attribute("object", String, "Always list")
	Attribute("data", ArrayOf(modelObject), "The routes")
	Required("object", "data")
})

var modelObject = Type("ModelObject", func() {
	Attribute("id", String, "Name of the route")
	Attribute("object", String, "Always model")
	Attribute("owned_by", String, "Always mangopass")
	Required("id", "object", "owned_by")
})
